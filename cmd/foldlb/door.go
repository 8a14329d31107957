package main

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/ops"
)

var errEnding = errors.New("this process is ending")

// listenDoor opens the operators' door, where the configuration names one. Nobody is behind it yet.
func (s setup) listenDoor() (*ops.AdminServer, error) {
	if s.cfg.Mgmt == "" {
		return nil, nil
	}
	d, err := ops.Listen(s.cfg.Mgmt, s.log)
	if err != nil {
		return nil, err
	}
	go d.Run() // before there is a node, so that readiness is denied and not refused
	return d, nil
}

// doorState is the door's listener, for a process that this one starts in its place.
type doorState struct {
	File int // place of its descriptor; -1 where there is no door
	Addr string
}

func (n *node) exportDoor(files *hold.Files) (doorState, error) {
	if n.door == nil {
		return doorState{File: -1}, nil
	}
	at, err := files.Add(n.door)
	return doorState{File: at, Addr: n.door.Addr()}, err
}

// importDoor takes the door up, unless this process has one of its own. Danger: its address can't be listened at as long as
// the old process lives.
func (n *node) importDoor(st doorState, files *hold.Received) error {
	if st.File < 0 || n.door != nil || n.cfg.Mgmt != st.Addr {
		return nil
	}
	ln, err := files.Listener(st.File)
	if err != nil {
		return fmt.Errorf("door: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("door: %T was handed over as its listener", ln)
	}
	n.open(ops.New(tcp, n.log))
	return nil
}

// open puts the node behind its door, if it has one. The loop must not run yet.
func (n *node) open(d *ops.AdminServer) {
	if d == nil {
		return
	}
	n.door = d
	var view atomic.Pointer[core.View]
	now := n.body.Reducer.View(n.body.Clock.Now())
	view.Store(&now)
	n.loop.PublishViews(func(v core.View) { view.Store(&v) })
	classes := make([]string, 0, len(n.cfg.Settings.Classes))
	for _, c := range n.cfg.Settings.Classes {
		classes = append(classes, c.Name)
	}
	n.clients.CountClasses(classes)
	n.behind = ops.Backend{
		Ready: func() error {
			if n.ending.Load() {
				return errEnding
			}
			return nil
		},
		Stats: func() ops.Stats {
			return ops.NewStats(n.clients.Tallies(), n.clients.InFlight(), n.workers.Sent(), *view.Load())
		},
		Post: n.loop.Post,
	}
}

// leaveDoor ends this process's answers to operators, once another one serves.
func (n *node) leaveDoor() {
	if n.door != nil {
		n.door.Detach()
	}
}
