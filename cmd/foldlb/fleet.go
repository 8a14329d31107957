package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"runtime/debug"
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
	n.member = &member{n: n, routes: f.RouteSource, cfg: fleetConfig(s.cfg.Name, f)}
	return nil
}

func fleetConfig(name string, f *operator.Fleet) gossip.Config {
	return gossip.Config{Fleet: f.Name, Name: name, Listen: f.Listen, Advertise: f.Advertise, Seeds: f.Seeds, Allow: f.AllowedPrefixes, Probe: f.ProbeInterval, Lease: f.Lease}
}

// takePart begins this process's part in the fleet, or ends its predecessor's.
func (n *node) takePart(ctx context.Context) {
	if n.member != nil {
		n.body.Reducer.Lease(n.member.cfg.Lease.Seconds())
		n.workers.Fence(n.body.Reducer.Fence())
		go n.member.run(ctx)
	} else if _, was := n.body.Reducer.Fleet(); was {
		n.loop.Prepend([]core.Event{core.FleetEnded{}})
	}
}

// run takes part until the context ends. Danger: callers must be served whatever becomes of the fleet, so an address that is
// taken is tried again and keeps nothing else from working.
func (m *member) run(ctx context.Context) {
	sockets, process, taken := m.held, m.was, m.held != nil
	for told := false; sockets == nil; {
		var err error
		if sockets, err = gossip.Listen(m.cfg.Listen); err == nil {
			process = gossip.NewProcessID()
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
	sockets, err := gossip.ImportSockets(st, files)
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

var errNoFleet = errors.New("this dispatcher is in no fleet: its operator file has no fleet block, or its address is taken")

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
