package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/clientconn"
	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/operator"
	"foldlb.example/foldlb/internal/ops"
	"foldlb.example/foldlb/internal/upgrade"
)

// The parts of the limits.
const (
	memoryPart     = 0.7 // of the memory, for the collector to keep to; the rest is stacks, buffers and code
	reservedFiles  = 64  // descriptors for the listener, discovery, the runtime and the log
	workerPart     = 3   // one in so many of the rest is for workers, the others for callers
	queuedLines    = 64  // of the reducer's log
	secondsToNanos = float64(time.Second)
	mostDrain      = 3.0 // seconds of a deadline that a planned restart waits for
	drainMargin    = 0.4 // of the 0.7 s that it waits beyond that
)

// options is what the command line says.
type options struct {
	level    string
	operator string // path of the operator file; empty for none
}

// serve runs one dispatcher: a new one, or one that takes over from a running process.
func serve(ctx context.Context, o options) error {
	// Danger: a SIGHUP that nothing takes ends the process, so it is taken first and for as long as it runs.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	pipe, err := upgrade.FromEnv(os.Getenv)
	if err != nil {
		return err
	}
	s, err := prepare(o)
	if err == nil && pipe == nil && s.operator.Upgrade.KeepPID && !isKept() {
		return keep()
	}
	if err == nil && pipe != nil {
		t, err := s.takeOver(pipe, nil)
		if err != nil {
			return fmt.Errorf("take over: %w", err)
		}
		if t.node.door == nil { // mgmt names another address than the old process's
			door, err := s.listenDoor()
			if err != nil {
				t.node.log.WithError(err).Error("operators' door not opened")
			}
			t.node.open(door)
		}
		s.announce(os.Getpid())
		return t.serve(ctx, reload)
	}
	if err != nil {
		if pipe != nil {
			upgrade.Refuse(pipe, err)
		}
		return err
	}
	door, err := s.listenDoor()
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	held, err := inherited(os.Getenv)
	if err != nil {
		return err
	}
	if held != nil {
		return s.replaceRunning(ctx, held, door, reload)
	}
	ln, err := clientconn.Listen(ctx, s.cfg.Listen, clientconn.ListenTimeout, s.log)
	if err != nil {
		return err
	}
	return s.begin(ctx, ln, door, reload)
}

// setup is what a start reads.
type setup struct {
	options
	cfg      config.Config
	operator operator.Config
	log      *logrus.Logger
	trail    record           // of what was acted on before the start
	ahead    *core.ConfigHeld // in force before this process, and newer than what its operator file states; nil for none
}

func prepare(o options) (setup, error) {
	s := setup{options: o, log: logrus.New()}
	lvl, err := logrus.ParseLevel(o.level)
	if err != nil {
		return s, fmt.Errorf("log-level: %w", err)
	}
	s.log.SetLevel(lvl)
	if o.operator != "" {
		if s.operator, err = operator.Load(o.operator); err != nil {
			return s, err
		}
		if s.operator.Log.Format == "json" {
			s.log.SetFormatter(&logrus.JSONFormatter{})
		}
	}
	s.cfg, err = config.Load(os.Getenv)
	return s, err
}

// begin serves from a fresh start.
func (s setup) begin(ctx context.Context, ln net.Listener, door *ops.AdminServer, reload <-chan os.Signal) error {
	clock := upgrade.NewClock()
	s.openRecord()
	reducer, err := core.New(clock.Now(), s.cfg.Settings, s.cfg.KnownRoutes, s.cfg.Discovery)
	if err != nil {
		return err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("listen: %T is not a TCP listener", ln)
	}
	var log logrus.FieldLogger = s.log
	if s.operator.Control.Socket != "" {
		log = s.log.WithField("generation", 1)
	}
	gate := hold.NewGate()
	if s.operator.Control.Socket == "" && os.Getenv(envInherited) == "" {
		gate.DisableHandover() // there will be no upgrade
	}
	n := build(s.cfg, reducer, gate, clock, log)
	n.open(door)
	if err := errors.Join(s.join(n), s.audits(n)); err != nil {
		return err
	}
	end, err := s.operate(n, nil)
	if err != nil {
		return err
	}
	if os.Getenv(envInherited) != "" {
		n.clients.ShareListener(overlapMost) // whoever served before may still do
	}
	s.acceptSuccessors(n)
	defer end()
	return n.serve(ctx, tcp, reload, false)
}

// takeover is all that another process has handed over: this process's own from now on.
type takeover struct {
	node  *node
	ln    *net.TCPListener
	taken *upgrade.Taken
	end   func()
}

// takeOver takes everything over that the process at the other end of the pipe hands over. On an error, which that process
// is told, nothing is this one's own and nothing is left open.
func (s setup) takeOver(pipe *upgrade.Pipe, door *ops.AdminServer) (_ *takeover, err error) {
	gate := hold.NewGate()
	var taken *upgrade.Taken
	defer func() {
		if err == nil {
			return
		}
		upgrade.Refuse(pipe, err)
		if taken != nil {
			taken.Files.Close()
		}
		for _, c := range gate.Conns() {
			c.Close() // danger: open here, they would stay open for the other side after the process that has them closes them
		}
	}()
	if err = gate.Hold(time.Second, nil); err != nil { // nothing may act before the word to go
		return nil, err
	}
	if taken, err = upgrade.Receive(pipe, s.under, version, gate); err != nil {
		return nil, err
	}
	if err = s.goOn(taken.Reducer.Config()); err != nil { // what came into force while this process followed
		return nil, err
	}
	ln, err := taken.Files.Listener(taken.Parcel.Listener)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.New("what was handed over as the listener is none")
	}
	n := build(s.cfg, taken.Reducer, gate, taken.Clock, s.log.WithField("generation", taken.Parcel.Generation))
	n.open(door)
	if err := errors.Join(s.join(n), s.audits(n)); err != nil {
		tcp.Close()
		return nil, err
	}
	end, err := s.operate(n, taken)
	if err == nil {
		err = n.take(taken)
	}
	if err != nil {
		tcp.Close()
		return nil, err
	}
	s.acceptSuccessors(n) // danger: before everything is its own, newcomers must meet the process that has it
	return &takeover{n, tcp, taken, end}, nil
}

// serve goes on where the other process stood. It reads the configuration once more: a SIGHUP may have reached the other process when
// that could neither obey it nor pass it on.
func (t *takeover) serve(ctx context.Context, reload <-chan os.Signal) error {
	defer t.end()
	read, place, words := t.taken.Durations()
	t.node.log.WithFields(logrus.Fields{"read": read.String(), "place": place.String(), "words": words.String()}).Info("taken over")
	return t.node.serve(ctx, t.ln, reload, true)
}

// halved tells that another process shares this one's memory, as its successor or predecessor.
var halved atomic.Bool

// setMachine keeps the Go runtime to the limits.
func setMachine(l core.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	most := float64(l.MemoryMB) * memoryPart * (1 << 20)
	if halved.Load() {
		most /= 2
	}
	debug.SetMemoryLimit(int64(most))
}

// connections divides the descriptors between callers and workers.
func connections(l core.Limits) (callers, workers int) {
	files := l.Sockets - reservedFiles
	return files - files/workerPart, files / workerPart
}

// stopAfter tells how long after SIGTERM what still waits must be answered: a planned restart waits for the
// longest deadline, for three seconds at the most, and a little more.
func stopAfter(s choice.Settings) time.Duration {
	longest := 0.0
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return time.Duration((min(longest, mostDrain) + drainMargin) * secondsToNanos)
}
