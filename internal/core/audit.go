package core

import (
	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/membership"
)

// AuditBegun begins an account of what is acted on, or says what a successor's program and configuration are.
type AuditBegun struct {
	Process uint64
	Program membership.Version
	Config  membership.Version
	Routes  string         // the name of the source of route sets among members; empty for its address
	Last    audit.Versions // that the process before acted on last, where its record is known
	Shared  []byte         `cbor:",omitempty"` // the configuration's shared part, as text
	By      string         `cbor:",omitempty"` // the member that told it; empty for the own file
	BringUp bool           `cbor:",omitempty"` // newer configurations are asked for at members that act on them
}

// AuditLooked says that a second has passed: spans that have lasted long enough end.
type AuditLooked struct{}

// AuditAsked asks for what is remembered of a request, which comes as AuditTold.
type AuditAsked struct {
	Order   OrderID
	Request RequestID
}

// AuditEnded ends the account: the last span, and the sums.
type AuditEnded struct{}

func (AuditBegun) event()  {}
func (AuditLooked) event() {}
func (AuditAsked) event()  {}
func (AuditEnded) event()  {}

// AuditSpans are spans that have ended.
type AuditSpans struct{ Spans []audit.Span }

// AuditHeld says which versions are held from now on. It comes before what is done on them. Danger: a span is told as it ends, and a
// process that is killed would leave no word of what it acted on last.
type AuditHeld struct{ Versions audit.Versions }

// AuditTold is what is remembered of a request, and the span that is under way.
type AuditTold struct {
	Order OrderID
	Acts  []audit.Act
	Now   audit.Span
}

// AuditSummed is the account's end.
type AuditSummed struct {
	Sums  [audit.NumKinds]uint64
	Spans uint64
}

func (AuditSpans) effect()  {}
func (AuditHeld) effect()   {}
func (AuditTold) effect()   {}
func (AuditSummed) effect() {}

// auditOf applies an event of the audit.
func (r *Reducer) auditOf(ev Event) {
	if begun, is := ev.(AuditBegun); is {
		r.auditBegun(begun)
	}
	if r.recorder == nil {
		return
	}
	switch ev := ev.(type) {
	case AuditLooked:
		r.recorder.EndDueSpan(r.now)
	case AuditConfigured:
		r.configured(ev)
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

func (r *Reducer) auditBegun(ev AuditBegun) {
	r.audited.Program, r.routesName, r.bringsUp = ev.Program, ev.Routes, ev.BringUp
	// Danger: what its predecessor took up in its last moments may be newer than what a successor read.
	if held := r.audited.Config; r.recorder == nil || held.Source != ev.Config.Source || held.No <= ev.Config.No {
		r.audited.Config, r.shared, r.sharedBy = ev.Config, ev.Shared, ev.By
	}
	r.emit(r.Config())
	if r.recorder != nil {
		r.holds()
		return
	}
	r.auditNo = ev.Process
	r.audited.Begun = ev.Last.Begun
	if last := ev.Last.Routes; last.Source == r.sourceName() {
		r.acted = max(r.acted, last.No) // danger: what was acted on before a restart must not be gone behind after it
	} else if last.Source != "" {
		r.audited.Begun++
	}
	r.audited.Routes = r.routes()
	r.recorder = audit.New(r.now, 1, r.audited)
	r.tellHeld()
}

// routes is the version of the route set that is held.
func (r *Reducer) routes() membership.Version {
	return membership.Version{No: r.version, Digest: r.routesDigest(), Source: r.sourceName()}
}

// holds says to the account which versions are held from now on.
func (r *Reducer) holds() {
	if r.recorder == nil {
		return
	}
	was, told := r.audited.Routes, r.routes()
	r.audited.Routes = told
	held := r.audited
	if altered.Is("records the version before") && was != told {
		held.Routes = was
	}
	if r.recorder.SetVersions(r.now, held) {
		r.tellHeld()
	}
}

// tellHeld tells which spans have ended, and what is held.
func (r *Reducer) tellHeld() {
	if done := r.recorder.Take(); len(done) > 0 {
		r.emit(AuditSpans{Spans: done})
	}
	r.emit(AuditHeld{Versions: r.recorder.Now().Versions})
}

// act counts an act, on the versions held now.
func (r *Reducer) act(kind audit.Kind, q *request, worker WorkerID) {
	if r.recorder != nil {
		r.recorder.Act(r.now, kind, string(q.call.ID), string(worker))
	}
}

// AuditState is the account's part of a reducer's state.
type AuditState struct {
	Process  uint64
	Recorder audit.State `cbor:"Book"`
	Held     audit.Versions
	Acted    int64
	Shared   []byte `cbor:",omitempty"` // the configuration's shared part, as text
	By       string `cbor:",omitempty"` // the member that told it
	BringUp  bool   `cbor:",omitempty"`
}

func (r *Reducer) exportAudit() *AuditState {
	if r.recorder == nil {
		return nil
	}
	return &AuditState{Process: r.auditNo, Recorder: r.recorder.Export(), Held: r.audited, Acted: r.acted,
		Shared: r.shared, By: r.sharedBy, BringUp: r.bringsUp}
}

func (r *Reducer) importAudit(st *AuditState) {
	r.acted = r.version
	if st != nil {
		r.auditNo, r.recorder, r.audited, r.acted = st.Process, audit.Import(st.Recorder), st.Held, st.Acted
		r.shared, r.sharedBy, r.bringsUp = st.Shared, st.By, st.BringUp
	}
}

// Audited is what was acted on last, by which process; false where there is no account.
func (r *Reducer) HeldVersions() (v audit.Versions, process uint64, kept bool) {
	return r.audited, r.auditNo, r.recorder != nil
}
