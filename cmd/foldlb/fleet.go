package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/control"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/gossip"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/membership"
	"foldlb.example/foldlb/internal/operator"
	"foldlb.example/foldlb/internal/snapshot"
)

const (
	rebindAfter   = 2 * time.Second // after an address that could not be listened at
	ownOrders     = core.OrderID(1) << 63
	orderWait     = 5 * time.Second
	toldMost      = 10 * time.Second       // for over half of the members to be seen to hold a floor
	fleetLineMost = 250 * time.Millisecond // between two lines of `foldlb fleet --watch`
)

// wall is the machine's clock of day. No order rests on it; tests set it back.
var wall = time.Now

// member is this dispatcher's part in its fleet. Without a fleet there is none.
type member struct {
	n      *node
	cfg    gossip.Config
	routes string          // what the members call the source of route sets
	held   *gossip.Sockets // that a predecessor handed over; nil for none
	was    uint64          // its process's number

	gossip atomic.Pointer[gossip.Node]

	orders answers[core.OrderFault]
	floors answers[core.FloorTold]
}

// join makes the node a member, where the operator file names a fleet. Nothing runs yet.
func (s setup) join(n *node) error {
	f := s.operator.Fleet
	if f == nil {
		return nil
	}
	if s.cfg.Name == "" {
		return errors.New("fleet: a member needs a name: set name, or NODE_NAME")
	}
	n.member = &member{n: n, routes: f.Routes, cfg: fleetConfig(s.cfg.Name, f)}
	return nil
}

func fleetConfig(name string, f *operator.Fleet) gossip.Config {
	return gossip.Config{Fleet: f.Name, Name: name, Listen: f.Listen, Advertise: f.Advertise, Seeds: f.Seeds, Allow: f.Allow, Probe: f.Probe, Lease: f.Lease}
}

// takePart begins this process's part in the fleet, or ends its predecessor's.
func (n *node) takePart(ctx context.Context) {
	if n.member != nil {
		n.body.Reducer.Lease(n.member.cfg.Lease.Seconds())
		n.workers.Fence(n.body.Reducer.Fence())
		go n.member.run(ctx)
	} else if _, was := n.body.Reducer.Fleet(); was {
		n.loop.Precede([]core.Event{core.FleetEnded{}})
	}
}

// run takes part until the context ends. Danger: callers must be served whatever becomes of the fleet, so an address that is
// taken is tried again and keeps nothing else from working.
func (m *member) run(ctx context.Context) {
	sockets, process, taken := m.held, m.was, m.held != nil
	for told := false; sockets == nil; {
		var err error
		if sockets, err = gossip.Listen(m.cfg.Listen); err == nil {
			process = gossip.NewProcess()
			break
		}
		if !told {
			m.n.log.WithError(err).Error("no member of the fleet until its address is free")
			told = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebindAfter):
		}
	}
	g := gossip.New(m.cfg, sockets, process, taken, m.n.body.Clock.Now, m.n.loop.Post, m.n.log)
	if m.n.auditor != nil {
		g.OnConfig(m.n.auditor.brought)
	}
	m.gossip.Store(g)
	m.n.loop.Post(core.FleetBegun{Routes: m.routes, Lease: m.cfg.Lease.Seconds(), Self: membership.Record{Key: g.Key(), Incarnation: uint64(wall().UnixMilli()), Process: process,
		Zone: m.n.cfg.Settings.Zone, Generation: m.n.body.Generation, Program: program(), Config: m.n.acts()}})
	if err := g.Run(ctx); err != nil {
		m.n.log.WithError(err).Error("no member of the fleet")
	}
}

// program is the build that runs.
var program = sync.OnceValue(func() membership.Version {
	h := fnv.New64a()
	if info, ok := debug.ReadBuildInfo(); ok {
		h.Write([]byte(info.String()))
	}
	return membership.Version{Digest: h.Sum64(), Source: version}
})

// acts is the configuration that the node acts on.
func (n *node) acts() membership.Version {
	if n.auditor != nil {
		return n.auditor.held.Load().Config
	}
	return configured(n.cfg)
}

// configured is what the configuration says that dispatchers of one fleet share.
func configured(cfg config.Config) membership.Version {
	s := cfg.Settings
	s.Self, s.Zone, s.Seed = 0, "", 0
	h := fnv.New64a()
	if text, err := snapshot.Marshal(s); err == nil {
		h.Write(text)
	}
	return membership.Version{Digest: h.Sum64()}
}

// perform carries out the fleet's effects.
func (m *member) perform(e core.Effect) {
	if m == nil {
		return
	}
	if g := m.gossip.Load(); g != nil {
		g.Perform(e)
	}
}

// leave tells the others that this process ends.
func (m *member) leave() {
	if m == nil {
		return
	}
	if g := m.gossip.Load(); g != nil {
		g.Leave()
	}
}

func (m *member) configure(name string, f *operator.Fleet) {
	if (m == nil) != (f == nil) {
		return // said by configure: only a restart or an upgrade begins or ends it
	}
	if m == nil {
		return
	}
	if g := m.gossip.Load(); g != nil && g.Configure(fleetConfig(name, f)) {
		m.n.log.Warn("changed keys of the fleet block that only a restart applies: all but seeds and allow")
	}
}

func (n *node) exportFleet(files *hold.Files) (gossip.State, error) {
	if n.member == nil {
		return gossip.State{Packet: -1, Stream: -1}, nil
	}
	return n.member.gossip.Load().Export(files)
}

func (n *node) importFleet(st gossip.State, files *hold.Received) error {
	if n.member == nil || st.Packet < 0 || st.Listen != n.member.cfg.Listen.String() {
		return nil
	}
	sockets, err := gossip.Take(st, files)
	if err != nil {
		return err
	}
	n.member.held, n.member.was = sockets, st.Process
	return nil
}

// ordered hands the answer to an order to whoever gave it over the control socket.
func (m *member) ordered(o core.Ordered) {
	if m != nil {
		m.orders.give(o.Order, o.Fault)
	}
}

func (m *member) floorTold(t core.FloorTold) {
	if m != nil {
		m.floors.give(t.Order, t)
	}
}

// remove has the fleet forget a member that is gone for good.
func (m *member) remove(name string) error {
	fault, came := m.orders.ask(func(id core.OrderID) { m.n.loop.Post(core.RemoveOrdered{Order: id, Name: name}) }, orderWait)
	switch {
	case !came:
		return errors.New("not in force yet; it will be")
	case fault != "":
		return fmt.Errorf("%s: %s", name, fault)
	}
	return nil
}

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
	case membership.OfRoutes:
		f.Source = m.routes
		if f.Source == "" {
			f.Source = m.n.cfg.Discovery
		}
	case membership.OfProgram:
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
		if p := m.gossip.Load().Picture(); p.FloorsTold && slices.ContainsFunc(p.Floors, t.Floor.Same) {
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

var errNoFleet = errors.New("this dispatcher is in no fleet: its operator file has no fleet block, or its address is taken")

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
	v := fleetView{Self: p.Self.Name, Fleet: m.cfg.Fleet, Digest: fmt.Sprintf("%016x", p.Digest), Settled: now - p.Changed,
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

// handlers are the fleet's questions at the control socket.
func (m *member) handlers() map[string]control.Handler {
	return map[string]control.Handler{
		"fleet": func(args json.RawMessage, say func(any) error) error {
			var a struct {
				Watch   bool `json:"watch"`
				History bool `json:"history"`
			}
			if len(args) > 0 {
				if err := json.Unmarshal(args, &a); err != nil {
					return err
				}
			}
			for last := ""; ; {
				v, err := m.view(a.History)
				if err != nil {
					return err
				}
				if v.Digest != last || !a.Watch {
					last = v.Digest
					if err := say(v); err != nil {
						return nil // nobody hears it any more
					}
				}
				if !a.Watch {
					return nil
				}
				time.Sleep(fleetLineMost)
			}
		},
		"fleet-floor": func(args json.RawMessage, say func(any) error) error {
			var o floorOrder
			if err := json.Unmarshal(args, &o); err != nil {
				return err
			}
			if m == nil || m.gossip.Load() == nil {
				return errNoFleet
			}
			return m.floor(o, say)
		},
		"fleet-remove": func(args json.RawMessage, say func(any) error) error {
			var a struct {
				Name string `json:"name"`
			}
			if err := json.Unmarshal(args, &a); err != nil {
				return err
			}
			if m == nil {
				return errNoFleet
			}
			if err := m.remove(a.Name); err != nil {
				return err
			}
			return say(map[string]string{"removed": a.Name})
		},
	}
}
