package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/platformapi"
)

const (
	entriesPerPage      = 1200 // control reads at most 200 pages; 184 of these hold 220,000 entries
	downPerMille        = 36   // of the destinations, at any time
	destinationsService = 100  // destinations of one service
	destinationSlots    = 8
)

// platform is a stand-in for the platform's list of destinations. Each turn moves the part that is down.
type platform struct {
	destinations int
	turn         atomic.Int64
	calls        atomic.Int64
	listener     net.Listener
	server       *http.Server
}

// startPlatform serves a list on loopback.
func startPlatform(destinations int) (*platform, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "serve the stand-in list")
	}
	started := &platform{destinations: destinations, listener: listener}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: time.Second}
	go func() { _ = started.server.Serve(listener) }()
	return started, nil
}

func (p *platform) address() string { return p.listener.Addr().String() }

func (p *platform) close() { _ = p.server.Close() }

// change moves the part of the destinations that is down, by a whole turn of it.
func (p *platform) change() { p.turn.Add(1) }

// ServeHTTP answers with one page.
func (p *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.calls.Add(1)
	first, _ := strconv.Atoi(request.URL.Query().Get("pageToken")) // the first page has no token
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(p.page(first)) // a caller that is gone asks again
}

// page holds the entries from a number on.
func (p *platform) page(first int) platformapi.Page {
	last := min(first+entriesPerPage, p.destinations)
	answer := platformapi.Page{Instances: make([]platformapi.Instance, 0, last-first)}
	for index := first; index < last; index++ {
		answer.Instances = append(answer.Instances, p.entry(index))
	}
	if last < p.destinations {
		token := strconv.Itoa(last)
		answer.NextToken = &token
	}
	return answer
}

func (p *platform) entry(index int) platformapi.Instance {
	return platformapi.Instance{
		ID:       fmt.Sprintf("i-%08x", index),
		Service:  serviceName(index / destinationsService),
		Address:  fmt.Sprintf("10.%d.%d.%d:8080", index>>16, index>>8&0xff, index&0xff),
		Zone:     zoneNames[index%len(zoneNames)],
		Version:  "v1",
		Capacity: destinationSlots,
		State:    p.state(index),
	}
}

// state is StateDraining for the part that is down at this turn.
func (p *platform) state(index int) string {
	place := (int64(index) + p.turn.Load()*downPerMille) % 1000
	if place < downPerMille {
		return platformapi.StateDraining
	}
	return platformapi.StateReady
}

func serviceName(number int) string { return fmt.Sprintf("service-%d", number) }
