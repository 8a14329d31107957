package main

import (
	"errors"
	"sync/atomic"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/ops"
)

var errEnding = errors.New("this process is ending")

// listenDoor opens the operators' door, where the configuration names one. Nobody is behind it yet.
func (s setup) listenDoor() (*ops.Door, error) {
	if s.cfg.Mgmt == "" {
		return nil, nil
	}
	d, err := ops.Listen(s.cfg.Mgmt, s.log)
	if err != nil {
		return nil, err
	}
	go d.Run()
	return d, nil
}

// open puts the node behind its door, if it has one. The loop must not run yet.
func (n *node) open(d *ops.Door) {
	if d == nil {
		return
	}
	n.door = d
	var view atomic.Pointer[core.View]
	view.Store(&core.View{})
	n.loop.Publish(func(v core.View) { view.Store(&v) })
	classes := make([]string, 0, len(n.cfg.Settings.Classes))
	for _, c := range n.cfg.Settings.Classes {
		classes = append(classes, c.Name)
	}
	n.legs.Count(classes)
	n.behind = ops.Node{
		Ready: func() error {
			if n.ending.Load() {
				return errEnding
			}
			return nil
		},
		Figures: func() ops.Figures {
			return ops.FiguresOf(n.legs.Tallies(), n.legs.InFlight(), n.hops.Sent(), *view.Load())
		},
		Post: n.loop.Post,
	}
}
