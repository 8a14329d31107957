package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/audit/trail"
	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/control"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/gossip"
	"foldlb.example/foldlb/internal/membership"
	"foldlb.example/foldlb/internal/operator"
)

const (
	auditEvery = time.Second
	lockMost   = 5 * time.Second // for a predecessor to end
	lockPause  = 50 * time.Millisecond
	trailEnds  = time.Second // for what waits to be written as the process ends
)

// auditor keeps this dispatcher's account. Without an audit block there is none.
type auditor struct {
	n       *node
	cfg     operator.Audit
	source  string // of configurations' numbers
	routes  string // what the members call the source of route sets
	process uint64
	failed  bool                         // its folder can't be written to, and that was said
	last    audit.Versions               // of the process before, by the folder
	writer  atomic.Pointer[trail.Writer] // nil where nothing is written
	summed  chan struct{}                // closed when the account has ended
	once    sync.Once
	held    atomic.Pointer[core.ConfigHeld] // the configuration that is in force
	stated  atomic.Int64                    // number of the configuration that the own file states
	bringer bringer

	asked answers[core.AuditTold]
}

// record is the folder's record, opened before there is a reducer: what the process before acted on bounds what this one may.
type record struct {
	writer  *trail.Writer
	last    trail.Predecessor
	process uint64
	failed  bool // it can't be written to, and that was said
}

// openRecord opens the folder's record, for a fresh start. Danger: a disk that is full, or anything else that is wrong with a record, must
// never keep callers from being served; it is logged, and nothing is written.
func (s *setup) openRecord() {
	a := s.operator.Audit
	if a == nil || a.Folder == "" {
		return
	}
	r := record{process: gossip.NewProcessID()}
	var err error
	r.writer, r.last, err = trail.Open(recordOptions(s.cfg.Name, *a, r.process), func(err error) { s.log.WithError(err).Error("audit") })
	if err != nil && !errors.Is(err, trail.ErrBusy) {
		s.log.WithError(err).Error("audit: nothing is written")
		r.failed = true
	}
	s.trail = r
	if err := s.readTaken(a.Folder); err != nil {
		s.log.WithError(err).Error("the configuration that a peer told before is not used")
	}
	// What was acted on before the start must not be gone behind after it: an older list is not used, and the whole one asked for.
	if last := r.last.Versions.Routes; err == nil && last.Source == s.routesName() && s.cfg.KnownRoutes.Version < last.No {
		s.log.WithFields(logrus.Fields{"known": s.cfg.KnownRoutes.Version, "acted_on": last.No}).Warn("the route set of the configuration is older than one that was acted on, and is not used")
		s.cfg.KnownRoutes = core.RouteSet{Version: core.VersionUnknown}
	}
}

// routesName is what versions of the route set are said to be of.
func (s *setup) routesName() string {
	if f := s.operator.Fleet; f != nil && f.RouteSource != "" {
		return f.RouteSource
	}
	return s.cfg.Discovery
}

func recordOptions(member string, a operator.Audit, process uint64) trail.Options {
	return trail.Options{Folder: a.Folder, Member: member, Process: process, Files: a.MaxFiles, Bytes: int64(a.MaxFileMB) << 20, Wall: wall}
}

// errOlder says that a configuration is older than one that was acted on.
var errOlder = errors.New("audit.version: an older configuration than one that was acted on")

// audits makes the node keep an account, where the operator file says so. A configuration that is older than what the reducer, or the
// folder's record, says was acted on is refused.
func (s setup) audits(n *node) error {
	a := s.operator.Audit
	if a == nil {
		return nil
	}
	x := &auditor{n: n, cfg: *a, process: gossip.NewProcessID(), summed: make(chan struct{})}
	if f := s.operator.Fleet; f != nil {
		x.source, x.routes = f.Name, f.RouteSource
	}
	x.failed = s.trail.failed
	held, process, kept := n.body.Reducer.HeldVersions()
	if kept {
		x.process = process
	} else if s.trail.writer != nil {
		held = s.trail.last.Versions
		x.last, x.process = held, s.trail.process
		x.writer.Store(s.trail.writer)
		x.tellCut(s.trail.last.Cut)
	}
	now := core.ConfigHeld{Config: x.config(s.cfg, a.ConfigVersion), Shared: s.cfg.SharedSettings()}
	if s.ahead != nil {
		now = *s.ahead
	}
	if held.Config.Source == x.source && held.Config.No > now.Config.No {
		return fmt.Errorf("%w: %d, and %d was acted on; state a higher number, also for a roll-back", errOlder, now.Config.No, held.Config.No)
	}
	x.held.Store(&now)
	x.stated.Store(a.ConfigVersion)
	n.auditor = x
	return nil
}

// config is the version of a configuration that a file states.
func (x *auditor) config(cfg config.Config, no int64) membership.Version {
	v := configured(cfg)
	v.No, v.Source = no, x.source
	return v
}

// run keeps the account until the context ends.
func (x *auditor) run(ctx context.Context) {
	for until := time.Now().Add(lockMost); x.writer.Load() == nil && x.cfg.Folder != "" && !x.failed; { // the process before lets go of it as it ends
		w, last, err := trail.Open(recordOptions(x.n.cfg.Name, x.cfg, x.process), func(err error) { x.n.log.WithError(err).Error("audit") })
		if err == nil {
			x.tellCut(last.Cut)
			x.writer.Store(w)
		} else if !errors.Is(err, trail.ErrBusy) || time.Now().After(until) {
			x.n.log.WithError(err).Error("audit: nothing is written")
			break
		} else {
			time.Sleep(lockPause)
		}
	}
	held := x.held.Load()
	x.n.loop.Post(core.AuditBegun{Routes: x.routes, Process: x.process, Program: program(), Config: held.Config, Shared: held.Shared, By: held.By,
		BringUp: x.cfg.AdoptNewerConfig && x.n.member != nil, Last: x.last})
	t := time.NewTicker(auditEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			x.n.loop.Post(core.AuditLooked{})
		}
	}
}

func (x *auditor) tellCut(cut string) {
	if cut != "" {
		x.n.log.WithField("cut", cut).Warn("audit: the end of the record was no whole record")
	}
}

// perform carries out the account's effects. It does not block.
func (x *auditor) perform(e core.Effect) {
	if x == nil {
		return
	}
	now := x.n.body.Clock.Now()
	switch e := e.(type) {
	case core.AuditSpans:
		if w := x.writer.Load(); w != nil {
			for _, s := range e.Spans {
				w.Put(now, trail.Record{Span: &s})
			}
		}
	case core.AuditHeld:
		if w := x.writer.Load(); w != nil {
			w.Put(now, trail.Record{Held: &e.Versions})
		}
	case core.ConfigHeld:
		x.holds(e)
	case core.AuditTold:
		x.asked.give(e.Order, e)
	case core.AuditSummed:
		if w := x.writer.Load(); w != nil {
			w.Put(now, trail.Record{End: &trail.End{Counts: e.Sums, Spans: e.Spans}})
		}
		x.once.Do(func() { close(x.summed) })
	}
}

// end writes the account's end.
func (x *auditor) end() {
	if x == nil {
		return
	}
	x.n.loop.Post(core.AuditEnded{})
	select {
	case <-x.summed:
	case <-time.After(trailEnds):
	}
	if w := x.writer.Load(); w != nil {
		w.Close(trailEnds)
	}
}

// configure puts the configuration in force that the files state now, and tells whether its settings are. One that is older than what was
// acted on changes nothing: it is an error where the files themselves went back, and of no matter where a peer told a newer one.
func (x *auditor) configure(a *operator.Audit, cfg config.Config) (settings bool, err error) {
	if x == nil || a == nil {
		return false, nil
	}
	held, stated := x.held.Load(), x.config(cfg, a.ConfigVersion)
	x.stated.Store(a.ConfigVersion)
	switch {
	case altered.Is("takes an older configuration"):
	case a.ConfigVersion < held.Config.No && held.By == "":
		return false, fmt.Errorf("%w: %d, and %d is in force", errOlder, a.ConfigVersion, held.Config.No)
	case a.ConfigVersion < held.Config.No:
		x.n.log.WithFields(logrus.Fields{"stated": a.ConfigVersion, "in_force": held.Config.No, "by": held.By}).
			Warn("the files state an older configuration than the one that a peer told, which stays")
		return false, nil
	case stated == held.Config:
		return true, nil
	case a.ConfigVersion == held.Config.No:
		x.n.log.WithField("configuration", a.ConfigVersion).Error("the files state other contents than the ones in force under this number, which stay; state a higher number")
		return false, nil
	}
	x.n.loop.Post(core.AuditConfigured{Config: stated, Settings: &cfg.Settings, Shared: cfg.SharedSettings()})
	return true, nil
}

// told asks the reducer what is remembered of a request.
func (x *auditor) told(id string) (core.AuditTold, error) {
	t, came := x.asked.ask(func(order core.OrderID) { x.n.loop.Post(core.AuditAsked{Order: order, Request: core.RequestID(id)}) }, orderWait)
	if !came {
		return t, errors.New("no answer from the reducer")
	}
	return t, nil
}

var errNoAudit = errors.New("this dispatcher keeps no account: its operator file has no audit block")

// auditAnswer is what `foldlb audit request` and `audit who` are told.
type auditAnswer struct {
	Member   string            `json:"member"`
	Versions audit.Versions    `json:"versions"`
	Acts     []auditAct        `json:"acts,omitempty"`
	Span     uint64            `json:"span"`
	Counts   map[string]uint64 `json:"counts_of_this_span"`
}

type auditAct struct {
	Ago      float64        `json:"ago_s"`
	Wall     int64          `json:"wall_ms"`
	What     string         `json:"what"`
	Worker   string         `json:"hop,omitempty"`
	Versions audit.Versions `json:"versions"`
}

func (x *auditor) handlers() map[string]control.Handler {
	return map[string]control.Handler{
		"audit-config": func(_ json.RawMessage, say func(any) error) error {
			if x == nil {
				return errNoAudit
			}
			return say(x.inForce())
		},
		"audit": func(args json.RawMessage, say func(any) error) error {
			var a struct {
				Request string `json:"request"`
			}
			if len(args) > 0 {
				if err := json.Unmarshal(args, &a); err != nil {
					return err
				}
			}
			if x == nil {
				return errNoAudit
			}
			t, err := x.told(a.Request)
			if err != nil {
				return err
			}
			now := x.n.body.Clock.Now()
			out := auditAnswer{Member: x.n.cfg.Name, Versions: t.Now.Versions, Span: t.Now.No, Counts: map[string]uint64{}}
			for k, n := range t.Now.Counts {
				out.Counts[audit.Kind(k).String()] = n
			}
			for _, act := range t.Acts {
				out.Acts = append(out.Acts, auditAct{Ago: now - act.At, Wall: wall().Add(-time.Duration((now - act.At) * float64(time.Second))).UnixMilli(),
					What: act.Kind.String(), Worker: act.Worker, Versions: act.Versions})
			}
			return say(out)
		},
	}
}
