package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// playMoved moves the platform's list to another address, which the settings name and SIGHUP tells, and then replaces half
// of the workers one after the other.
func playMoved(w *world) (verdict, error) {
	const drain = 3 * time.Second
	quotes := &service{name: "tarifa-base", work: 30 * time.Millisecond, capacity: 6}
	config := configOf(5, []map[string]any{routeOf("r-1", "/quote/", quotes.name, false, 1500, 3)},
		[]map[string]any{serviceOf(quotes.name, 110, 0, false, nil)})
	if err := w.begin([]*service{quotes, quotes}, nil, config); err != nil {
		return verdict{}, err
	}
	old := w.workers[:zoneCount] // half of the workers, as a release replaces
	accepted := make(chan int)
	stop := make(chan struct{})
	go func() {
		count := 0
		for i := 0; ; i++ {
			select {
			case <-stop:
				accepted <- count
				return
			case <-time.After(40 * time.Millisecond):
			}
			if w.clients.send(message{dispatcher: i, host: hostName, path: fmt.Sprintf("/quote/%d", i), body: fmt.Sprint(i)}) != "" {
				count++
			}
		}
	}()
	time.Sleep(2 * time.Second)
	if w.trouble {
		if err := w.movePlatform(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(7 * time.Second) // the first address has ended 2 s ago
	shown := map[string]float64{}
	var leaving sync.WaitGroup
	for i, one := range old {
		next, err := startWorker(w.record, quotes, fmt.Sprintf("i-new-%d", i), zoneName(i), w.system.address(w.system.otherHost(80+i), 8080))
		if err != nil {
			return verdict{}, err
		}
		w.platform.add([]*worker{next})
		time.Sleep(500 * time.Millisecond)
		w.platform.drain([]*worker{one})
		shown[one.id] = float64(time.Since(w.record.began).Microseconds()) / 1000
		w.record.note("shown as draining: " + one.id)
		leaving.Go(func() {
			time.Sleep(drain + 5*time.Second)
			w.platform.remove([]*worker{one})
			_ = one.server.Close()
			w.record.note("gone: " + one.id)
		})
		time.Sleep(500 * time.Millisecond)
	}
	leaving.Wait()
	time.Sleep(5 * time.Second)
	close(stop)
	total := <-accepted
	w.awaitEnds(total, 10*time.Second)
	broken := 0
	for _, e := range w.record.all() {
		if since, leaves := shown[e.Worker]; e.Kind == "start" && leaves && e.AtMs > since+float64(drain.Milliseconds()) {
			broken++
		}
	}
	return verdict{broken, fmt.Sprintf("DRAIN: %d accepted, %d ended, %d runs at a worker more than %v after the list showed it as draining", total,
		succeeded(w.record.all()), broken, drain)}, nil
}

// movePlatform serves the list at a second address too, names that in all settings files, sends SIGHUP to half of
// the machines, and ends the first address later.
func (w *world) movePlatform() error {
	address := w.system.address(w.system.base+".201", platformPort)
	if _, err := w.platform.serve(address); err != nil {
		return err
	}
	w.record.note("the settings name another address of the platform")
	for _, p := range w.system.all() {
		cloud := p.settings["cloud"].(map[string]any)
		cloud["address"] = address
		p.settings["bootstrap"] = false
		encoded, err := json.MarshalIndent(p.settings, "", " ")
		if err != nil {
			return err
		}
		path := filepath.Join(p.folder, "settings.yaml")
		if err := os.WriteFile(path+".new", encoded, 0o644); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	for i := range zoneCount / 2 { // half of the machines, over 1.5 s; the files of the others change without a signal
		for _, machine := range [][]*process{{w.system.controls[i], w.system.dispatchers[i]}, {w.system.stores[i]}} {
			for _, p := range machine {
				p.signal(syscall.SIGHUP)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.AfterFunc(5*time.Second, func() {
		w.record.note("the first address of the platform ends")
		_ = w.platformServer.Close()
	})
	return nil
}
