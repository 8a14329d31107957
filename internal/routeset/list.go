// Package routeset is a client of the discovery service: it fetches and watches the list of workers.
package routeset

import (
	"errors"
	"fmt"
	"net"

	jsoniter "github.com/json-iterator/go"

	"foldlb.example/foldlb/internal/core"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// listResponse is the JSON format of a route set. Unknown keys are ignored.
type listResponse struct {
	Version *int64 `json:"version"`
	Full    bool   `json:"full"`
	Servers []struct {
		ID      string   `json:"id"`
		Addr    string   `json:"addr"`
		Zone    string   `json:"zone"`
		Kind    string   `json:"kind"`
		Cell    int      `json:"cell"`
		State   string   `json:"state"`
		Weight  *float64 `json:"weight"`
		Started float64  `json:"started_ms"`
	} `json:"servers"`
}

var workerStates = map[string]core.WorkerState{"active": core.WorkerActive, "leaving": core.WorkerLeaving, "left": core.WorkerLeft}

// Parse parses a list. It returns an error for the whole list if one entry is invalid, since missing entries would look like workers that
// left.
func Parse(text []byte) (core.RouteSet, error) {
	var l listResponse
	if err := json.Unmarshal(text, &l); err != nil {
		return core.RouteSet{}, fmt.Errorf("not a list of servers: %w", err)
	}
	if l.Version == nil {
		return core.RouteSet{}, errors.New("version: is missing")
	}
	set := core.RouteSet{Version: *l.Version, Full: l.Full}
	seen := make(map[string]bool, len(l.Servers))
	for i, s := range l.Servers {
		state, ok := workerStates[s.State]
		h := core.Worker{ID: core.WorkerID(s.ID), Addr: s.Addr, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: state,
			Weight: 1, Started: s.Started / 1000}
		if s.Weight != nil {
			h.Weight = *s.Weight
		}
		switch {
		case s.ID == "":
			return set, fmt.Errorf("servers[%d].id: is missing", i)
		case seen[s.ID]:
			return set, fmt.Errorf("servers[%d].id: %q occurs twice", i, s.ID)
		case !ok:
			return set, fmt.Errorf("servers[%d].state: unknown state %q", i, s.State)
		case h.Weight < 0:
			return set, fmt.Errorf("servers[%d].weight: %v is below 0", i, h.Weight)
		case h.Started < 0:
			return set, fmt.Errorf("servers[%d].started_ms: %v is below 0", i, s.Started)
		}
		if _, _, err := net.SplitHostPort(s.Addr); err != nil && state != core.WorkerLeft {
			return set, fmt.Errorf("servers[%d].addr: %q is not host:port", i, s.Addr)
		}
		seen[s.ID] = true
		set.Workers = append(set.Workers, h)
	}
	return set, nil
}
