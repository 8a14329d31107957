package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/clientconn"
	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/membership"
	"foldlb.example/foldlb/internal/ops"
	"foldlb.example/foldlb/internal/routeset"
	"foldlb.example/foldlb/internal/upgrade"
	"foldlb.example/foldlb/internal/workerconn"
)

// node is one dispatcher's parts.
type node struct {
	cfg     config.Config
	log     logrus.FieldLogger
	gate    *hold.Gate
	loop    *core.Loop
	clients *clientconn.Server
	workers *workerconn.Sender
	routes  *routeset.Client
	body    *upgrade.Runtime
	giver   *upgrade.HandoverSender // nil where upgrades are off
	lines   chan string             // of the reducer's log
	tallies chan core.Figures       // asked for by logFigures, which waits for one at a time
	door    *ops.AdminServer        // nil where there is none
	behind  ops.Backend             // what is put behind it
	ending  atomic.Bool             // SIGTERM has come
	member  *member                 // of a fleet; nil where there is none
	auditor *auditor                // nil where no account is kept

	now atomic.Pointer[core.Limits] // those in force

	begins func() // called when the node begins to serve; nil for nothing
	// configure reads the operator file again, with another configuration beside it, and tells whether that one's settings are in force; nil
	// where there is none.
	configure func(config.Config, error) bool
}

// build makes the parts around a reducer. Nothing runs yet.
func build(cfg config.Config, reducer *core.Reducer, gate *hold.Gate, clock upgrade.Clock, log logrus.FieldLogger) *node {
	setMachine(cfg.Limits)
	n := &node{cfg: cfg, log: log, gate: gate, lines: make(chan string, queuedLines), tallies: make(chan core.Figures, 1)}
	n.now.Store(&cfg.Limits)
	n.loop = core.NewLoop(reducer, clock.Now, n.perform)
	forCallers, forWorkers := connections(cfg.Limits)
	n.clients = clientconn.NewServer(forCallers, n.gate, n.loop.Post, log)
	n.workers = workerconn.NewSender(workerconn.Options{
		DialTimeout:   time.Duration(cfg.Settings.DialTimeout * secondsToNanos),
		IdleClose:     time.Duration(cfg.Settings.ConnIdle * secondsToNanos),
		MaxConns:      forWorkers,
		CallerPresent: n.clients.CallerPresent,
	}, n.gate, clock.Now, n.loop.Post, log)
	n.routes = routeset.NewClient(n.gate, n.loop.Post, log)
	n.body = &upgrade.Runtime{Loop: n.loop, Reducer: reducer, Gate: n.gate, Clock: clock, Generation: 1, Started: time.Now(),
		Parts: []upgrade.Part{
			upgrade.NewPart("callers", n.clients.Export, n.clients.Import),
			upgrade.NewPart("next hops", n.workers.Export, n.workers.Import),
			upgrade.NewPart("routes", n.routes.Export, n.routes.Import),
			upgrade.NewPart("door", n.exportDoor, n.importDoor),
			upgrade.NewPart("fleet", n.exportFleet, n.importFleet).AsOptional(),
		}}
	return n
}

// limits are those in force.
func (n *node) limits() core.Limits { return *n.now.Load() }

// perform carries an effect out.
func (n *node) perform(e core.Effect) {
	switch e := e.(type) {
	case core.Answer:
		n.clients.Answer(e)
	case core.SendBranch:
		n.workers.Send(e)
	case core.GiveUpBranch:
		n.workers.GiveUp(e)
	case core.CloseIdle:
		n.workers.CloseIdle(e.Addr)
	case core.DropWorker:
		n.workers.CancelUnsent(e.Addr)
	case core.Watch:
		n.routes.Watch(e)
	case core.FetchRouteSet:
		n.routes.Fetch(e)
	case core.SendAway:
		n.clients.SendAway(e.On)
	case core.Ordered:
		if e.Order&ownOrders != 0 {
			n.member.ordered(e)
		} else if n.door != nil {
			n.door.Ordered(e)
		}
	case core.FleetNews, core.FleetPictured, core.HintsNews, core.AskHints, core.FloorsNews, core.FetchConfig:
		n.member.perform(e)
	case core.FloorTold:
		n.member.floorTold(e)
	case core.Fenced:
		n.workers.Fence(e.Until)
	case core.ConfigHeld:
		n.auditor.perform(e)
		n.member.perform(e)
	case core.AuditSpans, core.AuditHeld, core.AuditTold, core.AuditSummed:
		n.auditor.perform(e)
	case core.SetLimits:
		setMachine(e.Limits)
		n.now.Store(&e.Limits)
		callers, next := connections(e.Limits)
		n.clients.SetMaxConns(callers)
		n.workers.SetMaxConns(next)
	case core.Figures:
		select {
		case n.tallies <- e:
		default:
		}
	case core.Log:
		select {
		case n.lines <- e.Text:
		default: // danger: a log that nobody reads would stop the reducer
		}
	default: // danger: what nobody carries out would be lost in silence, as floors once were
		n.log.WithField("effect", fmt.Sprintf("%T", e)).Error("an effect that no part carries out")
	}
}

// beforeGo is called when everything has been taken up and nobody may act yet; tests wait in it.
var beforeGo = func() {}

// take takes everything up that another process hands over, and returns when it is this one's own. The gate is held
// until the node serves.
func (n *node) take(t *upgrade.Taken) error {
	n.loop.Prepend(t.Backlog)
	n.body.Generation, n.body.Started = t.Parcel.Generation, t.Started()
	if err := t.Import(n.body.Parts); err != nil {
		return err
	}
	beforeGo()
	return t.Go()
}

// serve runs the parts until the word to stop, and until all that was taken is answered.
func (n *node) serve(ctx context.Context, ln *net.TCPListener, reload <-chan os.Signal, hup bool) error {
	held := n.gate.Listen(ln)
	n.body.Listener = held
	background, end := context.WithCancel(context.Background())
	defer end()
	served := make(chan error, 1)
	go func() { served <- n.clients.Serve(held) }()
	go n.workers.Run(background)
	go func() {
		for text := range n.lines {
			n.log.Info(text)
		}
	}()
	n.gate.Release()
	if !n.routes.Watching() {
		for _, e := range n.body.Reducer.Resume() {
			n.perform(e)
		}
	}
	if n.body.Reducer.Draining() {
		n.clients.SendAway(true)
	}
	n.takePart(background)
	if n.auditor != nil {
		go n.auditor.run(background)
	}
	go n.loop.Run(background)
	go n.logFigures(background, figuresEvery)
	if n.door != nil {
		n.door.SetBackend(n.behind)
		go n.door.Run()
	}
	go n.follow(reload, hup)
	if n.giver != nil {
		go n.giver.Run()
		n.begins()
	}
	n.log.WithFields(logrus.Fields{"name": n.cfg.Name, "listen": n.cfg.Listen, "workers": len(n.cfg.KnownRoutes.Workers)}).Info("serving")

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	if n.giver != nil {
		n.giver.Stop() // where a new process has taken over it is told instead, and this one ends here
	}
	n.log.Info("draining")
	n.ending.Store(true)
	n.loop.Post(core.FleetEntered{State: membership.Stopping})
	var closed error
	n.clients.Drain(stopAfter(n.cfg.Settings), func() { closed = held.Close() }, func() { n.loop.Post(core.Stopping{}) })
	if closed != nil {
		return fmt.Errorf("close listener: %w", closed)
	}
	n.member.leave()
	n.auditor.end()
	n.log.Info("all answered")
	return <-served
}

// follow reads the configuration again at each word of reload, and at once where now is set.
func (n *node) follow(reload <-chan os.Signal, now bool) {
	if now {
		n.reload()
	}
	for range reload {
		if n.giver == nil {
			n.reload()
		} else {
			n.giver.RunAsOwner(syscall.SIGHUP, n.reload)
		}
	}
}

// reload reads the configuration again. A faulty one changes nothing.
func (n *node) reload() {
	next, err := config.Reload(os.Getenv)
	applied := n.configure != nil && n.configure(next, err)
	if err != nil {
		n.log.WithError(err).Error("reload refused, the old configuration stays")
		return
	}
	if keys := slices.DeleteFunc(config.KeysNeedingRestart(n.cfg, next), func(k string) bool { return k == "settings" && applied }); len(keys) > 0 {
		n.log.WithField("keys", keys).Warn("changed keys that only a restart applies")
	}
	n.body.Reloads.Add(1)
	n.loop.Post(core.Reloaded{Discovery: next.Discovery, Limits: next.Limits})
	n.log.WithFields(logrus.Fields{"discovery": next.Discovery, "sockets": next.Limits.Sockets}).Info("reloaded")
}
