package core

import (
	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/membership"
)

// AuditBegun starts the audit of what this process acts on. In a successor it states the program and configuration in use.
type AuditBegun struct {
	Process uint64
	Program membership.Version // that is running
	Config  membership.Version // in force
	Routes  string             // name of the source of route sets within the fleet; empty for its address
	Last    audit.Versions     // last acted on by the previous process, if its record is known
	Shared  []byte             `cbor:",omitempty"` // the configuration's shared part as text
	By      string             `cbor:",omitempty"` // the member the configuration came from; empty for the local file
	BringUp bool               `cbor:",omitempty"` // request newer configurations from members that have them in force
}

// AuditLooked comes every second and closes spans that have lasted long enough.
type AuditLooked struct{}

// AuditAsked requests the recorded acts of a request; the answer is AuditTold.
type AuditAsked struct {
	Order   OrderID
	Request RequestID
}

// AuditEnded ends the audit: the last span and the sums are emitted.
type AuditEnded struct{}

func (AuditBegun) event()  {}
func (AuditLooked) event() {}
func (AuditAsked) event()  {}
func (AuditEnded) event()  {}

// AuditSpans carries the spans that have ended.
type AuditSpans struct{ Spans []audit.Span }

// AuditHeld reports the versions in use from now on. It precedes all effects that are based on them: spans are recorded
// only when they end, so without it a process that is killed would leave no record of the versions it acted on last.
type AuditHeld struct{ Versions audit.Versions }

// AuditTold carries the recorded acts of a request and the current span.
type AuditTold struct {
	Order OrderID
	Acts  []audit.Act
	Now   audit.Span
}

// AuditSummed closes the audit with the number of acts of each kind and the number of spans.
type AuditSummed struct {
	Sums  [audit.NumKinds]uint64
	Spans uint64
}

func (AuditSpans) effect()  {}
func (AuditHeld) effect()   {}
func (AuditTold) effect()   {}
func (AuditSummed) effect() {}

// applyAuditEvent applies an event of the audit. Without a recorder all but AuditBegun are ignored.
func (r *Reducer) applyAuditEvent(ev Event) {
	if started, is := ev.(AuditBegun); is {
		r.beginAudit(started)
	}
	if r.recorder == nil {
		return
	}
	switch ev := ev.(type) {
	case AuditLooked:
		r.recorder.EndDueSpan(r.now)
	case AuditConfigured:
		r.applyConfig(ev)
	case AuditAsked:
		r.emit(AuditTold{Order: ev.Order, Acts: r.recorder.ActsOf(string(ev.Request)), Now: r.recorder.Now()})
	case AuditEnded:
		r.recorder.End(r.now)
	}
	if done := r.recorder.Take(); len(done) > 0 {
		r.emit(AuditSpans{Spans: done})
	}
	if _, ends := ev.(AuditEnded); ends {
		r.emit(AuditSummed{Sums: r.recorder.Sums(), Spans: r.recorder.Now().No - 1})
	}
}

// beginAudit starts the recorder, or updates the versions of one that was handed over.
func (r *Reducer) beginAudit(ev AuditBegun) {
	r.heldVersions.Program, r.routeSourceName, r.fetchesConfigs = ev.Program, ev.Routes, ev.BringUp
	// The predecessor may have adopted a newer configuration just before the handover than the one this process read.
	if held := r.heldVersions.Config; r.recorder == nil || held.Source != ev.Config.Source || held.No <= ev.Config.No {
		r.heldVersions.Config, r.sharedConfig, r.sharedConfigFrom = ev.Config, ev.Shared, ev.By
	}
	r.emit(r.Config())
	if r.recorder != nil {
		r.recordHeldVersions()
		return
	}
	r.auditProcess = ev.Process
	r.heldVersions.Begun = ev.Last.Begun
	if last := ev.Last.Routes; last.Source == r.sourceName() {
		r.newestHeldVersion = max(r.newestHeldVersion, last.No) // a restart must not fall back to an older version
	} else if last.Source != "" { // versions of another source can't be compared
		r.heldVersions.Begun++
	}
	r.heldVersions.Routes = r.heldRouteSet()
	r.recorder = audit.New(r.now, 1, r.heldVersions)
	r.emitHeldVersions()
}

// heldRouteSet returns the version of the route set in use.
func (r *Reducer) heldRouteSet() membership.Version {
	return membership.Version{No: r.routeSetVersion, Digest: r.currentDigest(), Source: r.sourceName()}
}

// recordHeldVersions tells the recorder which versions are in use from now on.
func (r *Reducer) recordHeldVersions() {
	if r.recorder == nil {
		return
	}
	previous, current := r.heldVersions.Routes, r.heldRouteSet()
	r.heldVersions.Routes = current
	held := r.heldVersions
	if altered.Is("records the version before") && previous != current {
		held.Routes = previous
	}
	if r.recorder.SetVersions(r.now, held) {
		r.emitHeldVersions()
	}
}

// emitHeldVersions emits the spans that have ended and the versions in use.
func (r *Reducer) emitHeldVersions() {
	if done := r.recorder.Take(); len(done) > 0 {
		r.emit(AuditSpans{Spans: done})
	}
	r.emit(AuditHeld{Versions: r.recorder.Now().Versions})
}

// recordAct counts an act under the versions in use.
func (r *Reducer) recordAct(kind audit.Kind, q *request, worker WorkerID) {
	if r.recorder != nil {
		r.recorder.Act(r.now, kind, string(q.call.ID), string(worker))
	}
}

// AuditState is the audit's part of a reducer's state.
type AuditState struct {
	Process  uint64
	Recorder audit.State    `cbor:"Book"`
	Held     audit.Versions // versions in use
	Acted    int64          // newest version of the route set that was in use
	Shared   []byte         `cbor:",omitempty"` // the configuration's shared part as text
	By       string         `cbor:",omitempty"` // the member the configuration came from; empty for the local file
	BringUp  bool           `cbor:",omitempty"`
}

func (r *Reducer) exportAudit() *AuditState {
	if r.recorder == nil {
		return nil
	}
	return &AuditState{Process: r.auditProcess, Recorder: r.recorder.Export(), Held: r.heldVersions, Acted: r.newestHeldVersion,
		Shared: r.sharedConfig, By: r.sharedConfigFrom, BringUp: r.fetchesConfigs}
}

func (r *Reducer) importAudit(st *AuditState) {
	r.newestHeldVersion = r.routeSetVersion
	if st != nil {
		r.auditProcess, r.recorder, r.heldVersions, r.newestHeldVersion = st.Process, audit.Import(st.Recorder), st.Held, st.Acted
		r.sharedConfig, r.sharedConfigFrom, r.fetchesConfigs = st.Shared, st.By, st.BringUp
	}
}

// HeldVersions returns the versions last acted on and the process's number; false without an audit.
func (r *Reducer) HeldVersions() (v audit.Versions, process uint64, audited bool) {
	return r.heldVersions, r.auditProcess, r.recorder != nil
}
