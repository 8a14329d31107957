package main

import (
	"fmt"

	"foldlb.example/foldlb/internal/gossip"
	"foldlb.example/foldlb/internal/membership"
)

// What `foldlb fleet` prints of the view.

// fleetView is what `foldlb fleet` is told.
type fleetView struct {
	Self    string         `json:"self"`
	Fleet   string         `json:"fleet"`
	Digest  string         `json:"digest"`
	Settled float64        `json:"settled_s"` // since a member, state or verdict last changed
	Acting  int            `json:"acting"`    // at the most
	Reached int            `json:"reached"`
	Zones   map[string]int `json:"zones"`
	Members []fleetMember  `json:"members"`
	Counts  gossip.Counts  `json:"counts"`
	Dropped uint64         `json:"dropped"`
	Floors  []fleetFloor   `json:"floors,omitempty"`
	Fenced  string         `json:"shut_out,omitempty"` // why the one that was asked may not act
	Stopped uint64         `json:"branches_stopped"`   // that it had decided on, and did not write since it was shut out in between
	Gap     float64        `json:"longest_write_s"`    // from its last look at the clock until a write had returned; 0 without lease or floor
	Clashes []fleetClash   `json:"clashes,omitempty"`
	History []fleetChange  `json:"history,omitempty"`
}

// fleetClash is one number that members hold with two contents.
type fleetClash struct {
	Kind   string `json:"kind"`
	No     int64  `json:"no"`
	Source string `json:"source"`
	A      string `json:"a"`
	B      string `json:"b"`
}

type fleetMember struct {
	Name        string             `json:"name"`
	Addr        string             `json:"addr"`
	Zone        string             `json:"zone"`
	State       string             `json:"state"`
	Why         string             `json:"why,omitempty"`
	Since       float64            `json:"since_s"`
	Reached     bool               `json:"reached"`
	Self        bool               `json:"self"`
	Conflict    bool               `json:"conflict"`
	Loser       bool               `json:"loser"`
	Disagrees   bool               `json:"disagrees"`
	Incarnation uint64             `json:"incarnation"`
	Process     string             `json:"process"`
	Seq         uint64             `json:"seq"`
	Generation  int                `json:"generation"`
	Program     membership.Version `json:"program"`
	Config      membership.Version `json:"config"`
	Routes      membership.Version `json:"routes"`
	Lag         lag                `json:"lag"`
}

type fleetFloor struct {
	Kind   string  `json:"kind"`
	No     int64   `json:"no"`
	Source string  `json:"source"`
	By     string  `json:"by"`
	Why    string  `json:"why"`
	In     float64 `json:"in_force_in_s"` // below 0 where it is in force
}

type fleetChange struct {
	Ago  float64 `json:"ago_s"`
	Name string  `json:"name"`
	Addr string  `json:"addr"`
	What string  `json:"what"`
	Why  string  `json:"why,omitempty"`
}

// view words the view as of now.
func (m *member) view(history bool) (fleetView, error) {
	if m == nil {
		return fleetView{}, errNoFleet
	}
	g := m.gossip.Load()
	if g == nil || g.Picture() == nil {
		return fleetView{}, errNoFleet
	}
	p, now := g.Picture(), m.n.body.Clock.Now()
	v := fleetView{Self: p.Self.Name, Fleet: m.cfg.Fleet, Digest: fmt.Sprintf("%016x", p.Digest), Settled: now - p.ChangedAt,
		Acting: p.Acting, Reached: p.Reached, Zones: p.Zones, Counts: g.Counts(), Dropped: p.Dropped}
	behind := lags(p.Members, now)
	for i, x := range p.Members {
		v.Members = append(v.Members, fleetMember{Name: x.Name, Addr: x.Addr, Zone: x.Zone, State: stateOf(x), Why: x.Why, Since: now - x.Since,
			Reached: x.Reached, Self: x.Self, Conflict: x.Conflict, Loser: x.Loser, Disagrees: x.Disagrees, Incarnation: x.Incarnation,
			Process: fmt.Sprintf("%x", x.Process), Seq: x.Seq, Generation: x.Generation, Program: x.Program, Config: x.Config, Routes: x.Routes, Lag: behind[i]})
	}
	v.Fenced = p.Fenced
	v.Stopped, v.Gap = m.n.workers.Fenced()
	for _, f := range p.Floors {
		if !f.Withdrawn {
			v.Floors = append(v.Floors, fleetFloor{Kind: f.Kind.String(), No: f.No, Source: f.Source, By: f.By, Why: f.Why, In: f.Within - f.Age - (now - p.FloorsAt)})
		}
	}
	for _, c := range p.Clashes {
		v.Clashes = append(v.Clashes, fleetClash{c.Kind.String(), c.No, c.Source, c.A.String(), c.B.String()})
	}
	if history {
		for _, c := range p.History {
			v.History = append(v.History, fleetChange{Ago: now - c.At, Name: c.Key.Name, Addr: c.Key.Addr, What: c.What, Why: c.Why})
		}
	}
	return v, nil
}

// stateOf words what is held of a member: what it says of itself, unless the others know better.
func stateOf(m membership.Member) string {
	switch {
	case m.State == membership.Left:
	case m.Verdict != membership.Fine:
		return m.Verdict.String()
	case m.Suspected:
		return "suspected"
	}
	return m.State.String()
}
