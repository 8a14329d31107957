package main

import (
	"errors"
	"slices"
	"time"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// The order for a floor, from the control socket to the answer.

// floorOrder is what `foldlb fleet floor` asks.
type floorOrder struct {
	Kind     membership.Kind `json:"kind"`
	No       int64           `json:"no"`
	Program  string          `json:"program"`
	Within   float64         `json:"within_s"`
	Why      string          `json:"why"`
	Force    bool            `json:"force"`
	Withdraw bool            `json:"withdraw"`
}

// floorAnswer is what it is told, as often as something is known.
type floorAnswer struct {
	Hit   []string `json:"below"`
	Fault string   `json:"fault,omitempty"`
	Told  bool     `json:"told"`  // over half of the members hold it
	Bound float64  `json:"bound"` // seconds from now until nobody acts below it, with the lease that this member has; below 0 where there is none
}

// floor tells a floor to the fleet, and says when over half of the members hold it.
func (m *member) floor(o floorOrder, say func(any) error) error {
	f := membership.Floor{Kind: o.Kind, No: o.No, Within: o.Within, Why: o.Why, Withdrawn: o.Withdraw, Source: m.cfg.Fleet}
	switch o.Kind {
	case membership.KindRoutes:
		f.Source = m.routes
		if f.Source == "" {
			f.Source = m.n.cfg.Discovery
		}
	case membership.KindProgram:
		f.Source = o.Program
	}
	begin := time.Now()
	t, came := m.floors.ask(func(id core.OrderID) { m.n.loop.Post(core.FloorOrdered{Order: id, Floor: f, Force: o.Force}) }, orderWait)
	if !came {
		return errors.New("not told yet; it will be")
	}
	if t.Fault != "" {
		return say(floorAnswer{Hit: t.Hit, Fault: t.Fault})
	}
	for time.Since(begin) < toldMost {
		// Danger: the picture may still be of the moment before.
		if p := m.gossip.Load().Picture(); p.FloorsHeldByMajority && slices.ContainsFunc(p.Floors, t.Floor.Same) {
			a := floorAnswer{Hit: t.Hit, Told: true, Bound: -1}
			if m.cfg.Lease > 0 {
				a.Bound = max(0, o.Within-time.Since(begin).Seconds()) + m.cfg.Lease.Seconds()
			}
			return say(a)
		}
		time.Sleep(waitPoll)
	}
	return say(floorAnswer{Hit: t.Hit})
}
