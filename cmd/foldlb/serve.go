package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/callerleg"
	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/nexthop"
	"foldlb.example/foldlb/internal/routeset"
)

// The parts of the limits.
const (
	memoryPart     = 0.7 // of the memory, for the collector to keep to; the rest is stacks, buffers and code
	reservedFiles  = 64  // descriptors for the listener, discovery, the runtime and the log
	nextHopPart    = 3   // one in so many of the rest is for next hops, the others for callers
	queuedLines    = 64  // of the reducer's log
	secondsToNanos = float64(time.Second)
	mostDrain      = 3.0 // seconds of a deadline that a planned restart waits for
	drainMargin    = 0.4 // of the 0.7 s that it waits beyond that
)

func serve(ctx context.Context, level string) error {
	log := logrus.New()
	lvl, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log-level: %w", err)
	}
	log.SetLevel(lvl)
	// Danger: a SIGHUP that nothing takes ends the process, so it is taken first and for as long as it runs.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return run(ctx, cfg, ln, reload, log)
}

// setMachine keeps the Go runtime to the limits.
func setMachine(l core.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(float64(l.MemoryMB) * memoryPart * (1 << 20)))
}

// connections divides the descriptors between callers and next hops.
func connections(l core.Limits) (callers, hops int) {
	files := l.Sockets - reservedFiles
	return files - files/nextHopPart, files / nextHopPart
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

// follow reads the configuration again at each word of reload. A faulty one changes nothing.
func follow(reload <-chan os.Signal, cfg config.Config, post func(core.Event), log *logrus.Logger) {
	for range reload {
		next, err := config.Reload(os.Getenv)
		if err != nil {
			log.WithError(err).Error("reload refused, the old configuration stays")
			continue
		}
		if keys := config.NeedRestart(cfg, next); len(keys) > 0 {
			log.WithField("keys", keys).Warn("changed keys that only a restart applies")
		}
		post(core.Reloaded{Discovery: next.Discovery, Limits: next.Limits})
		log.WithFields(logrus.Fields{"discovery": next.Discovery, "sockets": next.Limits.Sockets}).Info("reloaded")
	}
}

// run wires the parts together and serves until the context ends and all that was taken is answered.
func run(ctx context.Context, cfg config.Config, ln net.Listener, reload <-chan os.Signal, log *logrus.Logger) error {
	setMachine(cfg.Limits)
	clock := newClock()
	reducer, err := core.New(clock(), cfg.Settings, cfg.Known, cfg.Discovery)
	if err != nil {
		return err
	}
	var loop *core.Loop
	post := func(ev core.Event) { loop.Post(ev) }
	forCallers, forHops := connections(cfg.Limits)
	gate := hold.NewGate()
	legs := callerleg.NewServer(forCallers, gate, post, log)
	hops := nexthop.NewSender(nexthop.Options{
		DialTimeout: time.Duration(cfg.Settings.DialTimeout * secondsToNanos),
		IdleClose:   time.Duration(cfg.Settings.ConnIdle * secondsToNanos),
		MostConns:   forHops,
	}, gate, clock, post, log)
	routes := routeset.NewClient(gate, post, log)
	lines := make(chan string, queuedLines)
	go func() {
		for text := range lines {
			log.Info(text)
		}
	}()
	loop = core.NewLoop(reducer, clock, func(e core.Effect) {
		switch e := e.(type) {
		case core.Answer:
			legs.Answer(e)
		case core.SendBranch:
			hops.Send(e)
		case core.GiveUpBranch:
			hops.GiveUp(e)
		case core.CloseIdle:
			hops.CloseIdle(e.Addr)
		case core.DropHop:
			hops.Drop(e.Addr)
		case core.Watch:
			routes.Watch(e)
		case core.FetchRouteSet:
			routes.Fetch(e)
		case core.SetLimits:
			setMachine(e.Limits)
			callers, next := connections(e.Limits)
			legs.SetMost(callers)
			hops.SetMost(next)
		case core.Log:
			select {
			case lines <- e.Text:
			default: // danger: a log that nobody reads would stop the reducer
			}
		}
	})
	background, end := context.WithCancel(context.Background())
	defer end()
	go loop.Run(background)
	go hops.Run(background)
	go follow(reload, cfg, post, log)
	served := make(chan error, 1)
	go func() { served <- legs.Serve(ln) }()
	log.WithFields(logrus.Fields{"name": cfg.Name, "listen": cfg.Listen, "hops": len(cfg.Known.Hops)}).Info("serving")
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	log.Info("draining")
	legs.Drain(stopAfter(cfg.Settings), func() { post(core.Stopping{}) })
	if err := ln.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	log.Info("all answered")
	return <-served
}

// newClock tells Unix seconds that never run backwards.
func newClock() func() float64 {
	begin := time.Now()
	unix := float64(begin.UnixNano()) / secondsToNanos
	return func() float64 { return unix + time.Since(begin).Seconds() }
}
