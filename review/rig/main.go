// Rig starts a small deployment of the system on loopback, with stand-ins for clients, workers, the operator and the platform, and plays one
// case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
	hostName   = "lode17.example"

	longestPlay = 110 * time.Second
)

// world is all that a case works with.
type world struct {
	record   *record
	system   *deployment
	clients  *clients
	operator *operator
	workers  []*worker
	platform *platform
	trouble  bool
	static   string // address of the outside endpoint

	platformServer *http.Server // at the first address
}

// verdict says how often the rule was broken, and one line about it.
type verdict struct {
	broken int
	text   string
}

var cases = map[string]func(*world) (verdict, error){
	"route":         playRoute,
	"route-again":   playRouteAgain,
	"order":         playOrder,
	"order-service": playOrderService,
	"ceiling":       playCeiling,
	"moved":         playMoved,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE FOLDER, in the root of the project")
		os.Exit(exitNoRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*world) (verdict, error), folder string) int {
	w := &world{record: newRecord(), trouble: os.Getenv("TROUBLE") != "0"}
	system, err := newDeployment(w.record)
	if err != nil {
		fmt.Println("not played:", err)
		return exitNoRun
	}
	w.system, w.clients, w.operator = system, newClients(system), newOperator(system)
	defer system.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longestPlay):
			fmt.Println("not played: it took too long")
		}
		system.stop()
		os.Exit(exitNoRun)
	}()
	result, err := play(w)
	if writeErr := w.record.write(filepath.Join(folder, "record.txt")); err == nil {
		err = writeErr
	}
	if err != nil {
		fmt.Println("not played:", err)
		return exitNoRun
	}
	if ended := system.unasked(); len(ended) > 0 {
		fmt.Println("processes that ended by themselves:", ended)
	}
	fmt.Println(result.text)
	if result.broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// begin starts workers, platform and system, sends the first configuration and waits until the dispatchers are ready.
func (w *world) begin(groups []*service, endpoint *service, config map[string]any) error {
	for _, group := range groups {
		for i := range zoneCount {
			address := w.system.address(w.system.otherHost(i+10*len(w.workers)), 8080)
			one, err := startWorker(w.record, group, fmt.Sprintf("i-%s-%d", group.name, len(w.workers)), zoneName(i), address)
			if err != nil {
				return err
			}
			w.workers = append(w.workers, one)
		}
	}
	if endpoint != nil {
		if _, err := startWorker(w.record, endpoint, "i-"+endpoint.name, "", w.static); err != nil {
			return err
		}
	}
	w.platform = &platform{workers: append([]*worker(nil), w.workers...), leaving: map[string]time.Time{}}
	server, err := w.platform.serve(w.system.platformAddress())
	if err != nil {
		return err
	}
	w.platformServer = server
	if err := w.system.start(); err != nil {
		return err
	}
	if err := w.operator.order("/api/config/replace", "0", config); err != nil {
		return err
	}
	if err := w.clients.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // all have the list and their partitions
	return nil
}

func routeOf(name, prefix, service string, fifo bool, timeoutMs, retries int) map[string]any {
	return map[string]any{"name": name, "hostname": hostName, "pathPrefix": prefix, "type": "async", "timeoutMs": timeoutMs,
		"targetLatencyMs": 80, "priority": 1, "service": service, "retries": retries, "fifo": fifo, "retentionS": 90.0, "callbackUrl": false,
		"scheduleTargetMs": 500}
}

func serviceOf(name string, conns int, rate float64, dedup bool, endpoint any) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": conns, "protocol": "h1", "tls": false, "ratePerS": rate,
		"dedup": dedup, "pullMode": false, "staticEndpoint": endpoint}
}

func configOf(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// succeeded counts the messages that a worker ended with success.
func succeeded(events []event) int {
	done := map[string]bool{}
	for _, e := range events {
		if e.Kind == "end" && e.Status == http.StatusOK {
			done[e.ID] = true
		}
	}
	return len(done)
}

// awaitEnds waits until as many messages have succeeded, for a time at most.
func (w *world) awaitEnds(count int, bound time.Duration) {
	for end := time.Now().Add(bound); time.Now().Before(end) && succeeded(w.record.all()) < count; {
		time.Sleep(100 * time.Millisecond)
	}
}
