package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playRoute replaces a route by name while messages of the old one wait for their delay.
func playRoute(w *world) (verdict, error) {
	return playRouteChanges(w, map[string]any{"version": 7, "upsert": map[string]any{"routes": []map[string]any{
		routeOf("r-1", "/renew/", "poliza-emision", false, 500, 6),
		routeOf("r-3", "/quote/", "tarifa-base", false, 1500, 3)}}, "remove": map[string]any{"routes": []string{}}})
}

// playRouteAgain removes the route, and adds another one of its name in a second change.
func playRouteAgain(w *world) (verdict, error) {
	return playRouteChanges(w, map[string]any{"version": 7, "upsert": map[string]any{"routes": []map[string]any{
		routeOf("r-3", "/quote/", "tarifa-base", false, 1500, 3)}}, "remove": map[string]any{"routes": []string{"r-1"}}},
		map[string]any{"version": 9, "upsert": map[string]any{"routes": []map[string]any{
			routeOf("r-1", "/renew/", "poliza-emision", false, 500, 6)}}, "remove": map[string]any{"routes": []string{}}})
}

// playRouteChanges makes changes while messages wait for their delay.
func playRouteChanges(w *world, updates ...map[string]any) (verdict, error) {
	quotes := &service{name: "tarifa-base", work: 30 * time.Millisecond, capacity: 6}
	binds := &service{name: "poliza-emision", work: 15 * time.Millisecond, capacity: 6}
	services := []map[string]any{serviceOf(quotes.name, 110, 0, false, nil), serviceOf(binds.name, 100, 0, false, nil)}
	config := configOf(5, []map[string]any{
		routeOf("r-1", "/quote/", quotes.name, false, 1500, 3),
		routeOf("r-2", "/bind/", binds.name, false, 500, 6)}, services)
	if err := w.begin([]*service{quotes, binds}, nil, config); err != nil {
		return verdict{}, err
	}
	allowed := map[string]map[string]bool{quotes.name: {"/quote/": true}, binds.name: {"/bind/": true, "/renew/": true}}
	accepted := 0
	for i := range 200 {
		m := message{dispatcher: i, host: hostName, path: fmt.Sprintf("/quote/%d", i), body: fmt.Sprintf("quote %d", i)}
		if i%2 == 0 {
			m.delayMs = 4000
		}
		if w.clients.send(m) != "" {
			accepted++
		}
	}
	if w.trouble {
		for i, update := range updates {
			if err := w.operator.order("/api/config/update", fmt.Sprint(5+2*i), update); err != nil {
				return verdict{}, err
			}
		}
	}
	w.awaitEnds(accepted, 15*time.Second)
	broken, first := 0, ""
	for _, e := range w.record.all() {
		if e.Kind != "start" || allowed[e.Service][prefixOf(e.Path)] {
			continue
		}
		if broken++; first == "" {
			_, state, _ := w.clients.state(hostName, w.record.nameOf(e.ID), 0)
			first = fmt.Sprintf("; the first: %s at %s of %s after %.0f ms, its state is now %q", e.Path, e.Worker, e.Service, e.AtMs, state)
		}
	}
	return verdict{broken, fmt.Sprintf("ROUTE: %d accepted, %d runs at a service that no configuration lets them go to%s", accepted, broken, first)}, nil
}

// prefixOf returns a path's first part.
func prefixOf(path string) string {
	return path[:strings.Index(path[1:], "/")+2]
}

// playOrder adds routes in order that take some paths to a service with a rate, while messages of their keys wait.
func playOrder(w *world) (verdict, error) {
	return playOrderChange(w, func(partner string) []map[string]any {
		var added []map[string]any
		for k := range 4 {
			added = append(added, routeOf(fmt.Sprintf("r-%d", 3+k), fmt.Sprintf("/bind/%d/", k), partner, true, 800, 6))
		}
		return added
	})
}

// playOrderService gives the route in order itself another service.
func playOrderService(w *world) (verdict, error) {
	return playOrderChange(w, func(partner string) []map[string]any {
		return []map[string]any{routeOf("r-1", "/bind/", partner, true, 800, 6)}
	})
}

// playOrderChange changes routes while messages of keys wait.
func playOrderChange(w *world, change func(partner string) []map[string]any) (verdict, error) {
	quotes := &service{name: "tarifa-base", work: 300 * time.Millisecond, capacity: 6}
	partner := &service{name: "asistencia-socios", work: 45 * time.Millisecond, capacity: 11, rate: 39, dedup: true}
	w.static = w.system.address(w.system.otherHost(90), 8043)
	services := []map[string]any{serviceOf(quotes.name, 110, 0, false, nil), serviceOf(partner.name, 24, 39, true, w.static)}
	config := configOf(5, []map[string]any{
		routeOf("r-1", "/bind/", quotes.name, true, 1500, 6),
		routeOf("r-2", "/cover/", partner.name, false, 800, 4)}, services)
	if err := w.begin([]*service{quotes}, partner, config); err != nil {
		return verdict{}, err
	}
	const keys, before, after = 8, 12, 4
	accepted := w.sendKeys(keys, before, 0)
	if w.trouble {
		update := map[string]any{"version": 7, "upsert": map[string]any{"routes": change(partner.name)},
			"remove": map[string]any{"routes": []string{}}}
		if err := w.operator.order("/api/config/update", "5", update); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	accepted += w.sendKeys(keys, after, before)
	w.awaitEnds(accepted, 25*time.Second)
	broken, first := orderBreaks(w.record.all())
	return verdict{broken, fmt.Sprintf("ORDER: %d accepted, %d ended, %d starts before an earlier message of the key had ended%s",
		accepted, succeeded(w.record.all()), broken, first)}, nil
}

// sendKeys sends messages of several keys, each key's one after the other, and returns how many were accepted.
func (w *world) sendKeys(keys, count, from int) int {
	var sending sync.WaitGroup
	counts := make([]int, keys)
	for k := range keys {
		sending.Go(func() {
			for i := range count {
				m := message{dispatcher: k + i, host: hostName, path: fmt.Sprintf("/bind/%d/%d", k, from+i), key: fmt.Sprintf("claim-%d", k),
					body: fmt.Sprintf("step %d of %d", from+i, k)}
				if w.clients.send(m) != "" {
					counts[k]++
				}
			}
		})
	}
	sending.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// orderBreaks counts the starts of messages before another one of the key had ended that was accepted before they were sent.
func orderBreaks(events []event) (int, string) {
	type life struct {
		key                            string
		sent, accepted, started, ended float64
	}
	lives := map[string]*life{}
	for _, e := range events {
		one := lives[e.ID]
		switch {
		case e.Kind == "send" && e.Key != "":
			lives[e.ID] = &life{key: e.Key, sent: e.AtMs}
		case one == nil:
		case e.Kind == "answer" && e.Status == http.StatusAccepted:
			one.accepted = e.AtMs
		case e.Kind == "start" && one.started == 0:
			one.started = e.AtMs
		case e.Kind == "end" && e.Status == http.StatusOK && one.ended == 0:
			one.ended = e.AtMs
		}
	}
	broken, first := 0, ""
	for id, later := range lives {
		for other, earlier := range lives {
			if id == other || later.key != earlier.key || later.started == 0 || earlier.accepted == 0 || earlier.accepted >= later.sent {
				continue
			}
			if earlier.ended == 0 || later.started < earlier.ended {
				if broken++; first == "" {
					first = fmt.Sprintf("; one of them: key %s, %s accepted at %.0f and ended at %.0f, %s sent at %.0f and started at %.0f", later.key,
						other, earlier.accepted, earlier.ended, id, later.sent, later.started)
				}
				break
			}
		}
	}
	return broken, first
}

// playCeiling sends the messages of a route to a service with a rate while many wait for their delay.
func playCeiling(w *world) (verdict, error) {
	const rate, window, overrun, slack = 39.0, 5.0, 1.1, 5.0
	quotes := &service{name: "tarifa-base", work: 30 * time.Millisecond, capacity: 6}
	partner := &service{name: "asistencia-socios", work: 45 * time.Millisecond, capacity: 11, rate: rate, dedup: true}
	w.static = w.system.address(w.system.otherHost(90), 8043)
	services := []map[string]any{serviceOf(quotes.name, 110, 0, false, nil), serviceOf(partner.name, 24, rate, true, w.static)}
	config := configOf(5, []map[string]any{
		routeOf("r-1", "/quote/", quotes.name, false, 1500, 3),
		routeOf("r-2", "/cover/", partner.name, false, 800, 4)}, services)
	if err := w.begin([]*service{quotes}, partner, config); err != nil {
		return verdict{}, err
	}
	accepted := 0
	for i := range 600 {
		if w.clients.send(message{dispatcher: i, host: hostName, path: fmt.Sprintf("/quote/%d", i), body: fmt.Sprint(i), delayMs: 5000}) != "" {
			accepted++
		}
	}
	if w.trouble {
		update := map[string]any{"version": 7, "upsert": map[string]any{"routes": []map[string]any{
			routeOf("r-1", "/quote/", partner.name, false, 800, 4)}}, "remove": map[string]any{"routes": []string{}}}
		if err := w.operator.order("/api/config/update", "5", update); err != nil {
			return verdict{}, err
		}
	}
	w.awaitEnds(accepted, 30*time.Second)
	var arrivals []float64
	for _, e := range w.record.all() {
		if e.Kind == "arrive" && e.Service == partner.name {
			arrivals = append(arrivals, e.AtMs/1000)
		}
	}
	most := 0
	for i, from := 0, 0; i < len(arrivals); i++ {
		for arrivals[i]-arrivals[from] >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	bound := window*rate*overrun + slack
	broken := 0
	if float64(most) > bound {
		broken = 1
	}
	return verdict{broken, fmt.Sprintf("CEILING: %d accepted, %d ended, %d arrivals in the fullest %.0f s, %.1f allowed", accepted,
		succeeded(w.record.all()), most, window, bound)}, nil
}
