package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/ops"
	"foldlb.example/foldlb/internal/upgrade"
)

// envInherited names the descriptor of the callers' listening socket, where the platform holds that. Only then is a
// process expected that takes this one's place, or a running one whose place this one takes.
const envInherited = "NODE_INHERITED_FD"

// A newcomer has 6 s to say that it is ready.
const (
	takeOverMost = 3 * time.Second       // for a hand-over; then it still has time to start by itself
	meetAgain    = 50 * time.Millisecond // before a second try, and twice as long before each further one
	// Two processes that could not hand over serve side by side: for the 6 s, and until SIGKILL ends the old one, 3.7 s after
	// SIGTERM at the latest.
	overlapMost = 10 * time.Second
	meetStart   = time.Second // for each step of a newcomer before the hold
	meetFollow  = 100 * time.Millisecond
	// A drain that is told while everything is held is known only afterwards, and must be within 750 ms.
	meetHold, meetOffer, meetCommit = 150 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond
)

// inherited returns the listener that the platform holds, or nil where it holds none.
func inherited(getenv func(string) string) (*net.TCPListener, error) {
	text := getenv(envInherited)
	if text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%s: %q does not name a descriptor", envInherited, text)
	}
	unix.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), envInherited)
	defer f.Close() // the listener has a descriptor of its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envInherited, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("%s: not a TCP listener", envInherited)
	}
	return tcp, nil
}

// meetingPath is where processes that share the platform's folder meet.
func meetingPath() (string, error) {
	folder := os.Getenv("TMPDIR")
	if folder == "" {
		return "", errors.New("TMPDIR: not set")
	}
	return upgrade.RendezvousPath(folder)
}

// replaceRunning serves on the listener that the platform holds: from where a running process stands if there is one, else, or
// where no hand-over can be had, from a fresh start.
func (s setup) replaceRunning(ctx context.Context, ln *net.TCPListener, door *ops.AdminServer, reload <-chan os.Signal) error {
	halved.Store(true)
	until := time.Now().Add(takeOverMost)
	path, err := meetingPath()
	for met, pause := false, meetAgain; err == nil; pause *= 2 {
		var pipe *upgrade.Pipe
		if pipe, err = upgrade.DialRendezvous(ctx, path, until); err == nil {
			met = true
			var t *takeover
			if t, err = s.takeOver(pipe, door); err == nil {
				ln.Close() // the same socket has been handed over
				wholeMachine(s.cfg.Limits)
				return t.serve(ctx, reload)
			}
			pipe.Close()
		}
		if met && time.Now().Add(pause).Before(until) {
			s.log.WithError(err).Warn("not taken over; another try")
			time.Sleep(pause) // another newcomer may have been first, and is met next
			err = nil
		}
	}
	s.log.WithError(err).Info("nothing to take over: a fresh start")
	time.AfterFunc(overlapMost, func() { wholeMachine(s.cfg.Limits) })
	return s.begin(ctx, ln, door, reload)
}

// wholeMachine says that no other process shares the memory any more.
func wholeMachine(l core.Limits) {
	halved.Store(false)
	setMachine(l)
}

// acceptSuccessors lets newcomers take over from the node, where the platform starts them.
func (s setup) acceptSuccessors(n *node) {
	if os.Getenv(envInherited) == "" {
		return
	}
	path, err := meetingPath()
	var m *upgrade.RendezvousListener
	if err == nil {
		m, err = upgrade.ListenRendezvous(path)
	}
	if err != nil {
		n.log.WithError(err).Warn("no process can take over from this one")
		n.clients.ShareListener(time.Duration(math.MaxInt64 / 2)) // a newcomer will serve beside it, and can't say so
		return
	}
	limits := upgrade.Limits{Start: meetStart, Probation: meetFollow, Hold: meetHold, Offer: meetOffer, Commit: meetCommit}
	if n.giver == nil {
		n.giver = upgrade.NewHandoverSender(n.body, limits, false, nil, func(int) { n.leaveDoor() }, n.log)
	}
	n.giver.ShedConns = n.shed
	n.giver.OnSeparateStart = func() {
		n.clients.ShareListener(overlapMost)
		time.AfterFunc(overlapMost, func() { wholeMachine(n.limits()) })
	}
	begins := n.begins
	n.begins = func() {
		if begins != nil {
			begins()
		}
		go n.giver.Accept(m, limits)
	}
}

// shed makes room for a second process: it halves the memory, and closes kept connections until two processes can have
// all that are left open at once: workers' first, which cost least to open again, then callers'. What is at work stays,
// whatever the limit.
func (n *node) shed() {
	l := n.limits()
	halved.Store(true)
	setMachine(l)
	over := len(n.gate.Conns()) - (l.Sockets-reservedFiles)/2
	over -= n.workers.CloseOldestIdle(over)
	n.clients.CloseOldestIdle(over)
}
