package core

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"slices"

	"foldlb.example/foldlb/choice"
)

// State is a reducer's complete state as a value that can be encoded: a successor process that imports it
// continues with the same decisions. Times are seconds on the dispatcher's clock.
type State struct {
	Now      float64
	Source   Source
	Version  int64          // of the route set last received; VersionUnknown before the first
	Watching bool           // a watch of the source is open
	Workers  []Worker       `cbor:"Hops"` // sorted by id
	LastID   BranchID       // of the newest branch
	TimerSeq uint64         // of the newest timer
	Timers   []TimerState   // sorted by due time, then by Seq
	Requests []RequestState // sorted by request id
	Spent    []RequestID    // ids of finished requests whose deadlines have not passed
	Banned   []WorkerID     `cbor:",omitempty"` // workers that operators took out of use
	Returned []ReturnState  `cbor:",omitempty"` // workers that operators put back into use
	Draining bool           // an operator has ordered this dispatcher to drain
	Doubted  bool           `cbor:",omitempty"` // the source was asked for its full list because its last one was implausible
	Fleet    *FleetState    `cbor:",omitempty"` // nil without a view of the fleet
	Audit    *AuditState    `cbor:",omitempty"` // nil without an audit recorder
	Decider  choice.Snapshot
}

// ReturnState is a worker that an operator put back into use, and the time of that order.
type ReturnState struct {
	Worker WorkerID `cbor:"Hop"`
	At     float64
}

// TimerState is a pending timer. Kind determines which of the last five fields are used.
type TimerState struct {
	At       float64
	Seq      uint64
	Kind     uint8
	Request  RequestID  `cbor:",omitempty"`
	Exchange ExchangeID `cbor:"Leg,omitempty"`
	Branch   BranchID   `cbor:",omitempty"`
	Fault    Fault      `cbor:",omitempty"`
	Token    uint64     `cbor:",omitempty"`
}

// RequestState is a request that has not been answered or still has an open branch.
type RequestState struct {
	Call     Call
	Deadline float64
	Over     bool // the final answer was given, or is no longer owed
	Branches []BranchState
}

// BranchState is one attempt of a request.
type BranchState struct {
	ID      BranchID
	Worker  WorkerID `cbor:"Hop"`
	Addr    string
	Sent    float64 // time at which the branch was opened
	Ended   bool
	Begun   bool   // the worker reported that the job started
	InDoubt bool   // the connection broke, and a report of the job's start is awaited
	Zone    string `cbor:",omitempty"`
	Cell    int    `cbor:",omitempty"`
	// The outcome; of a branch that is given up, the outcome it will have once it is released. A state from a version
	// without this field has Done here, which is treated as "may have run".
	Code     choice.Code `cbor:",omitempty"`
	GivenUp  bool        `cbor:",omitempty"` // its worker is being told that nobody waits for the branch
	Released bool        `cbor:",omitempty"` // as far as the worker or this machine can know, nothing of the branch runs or will run
}

// ErrState means that a state is inconsistent and can't be imported. Errors of Import wrap it and name the fault.
var ErrState = errors.New("core: state not usable")

const (
	maxCounter = 1 << 62 // of ids, sequence numbers and tokens
	maxTimeS   = 1e12
)

func isTime(t float64) bool { return t >= -maxTimeS && t <= maxTimeS }

// Export returns the reducer's complete state; it must be called between two steps. Message bodies are shared with
// the reducer, which never writes to them; everything else is a copy. The lists are unsorted, see Sort.
func (r *Reducer) Export() (State, error) {
	decider, err := r.decider.Export()
	if err != nil {
		return State{}, err
	}
	s := State{Now: r.now, Source: r.source, Version: r.routeSetVersion, Watching: r.watching, LastID: r.lastID,
		TimerSeq: r.timerSeq, Draining: r.draining, Doubted: r.recheckPending, Fleet: r.exportFleet(), Audit: r.exportAudit(), Decider: decider, Spent: make([]RequestID, 0, len(r.endedIDs)),
		Timers: make([]TimerState, 0, len(r.timers)), Requests: make([]RequestState, 0, len(r.requests))}
	for id := range r.endedIDs {
		s.Spent = append(s.Spent, id)
	}
	for id := range r.banned {
		s.Banned = append(s.Banned, id)
	}
	for id, at := range r.restoredAt {
		s.Returned = append(s.Returned, ReturnState{Worker: id, At: at})
	}
	for _, worker := range r.workers {
		s.Workers = append(s.Workers, worker)
	}
	for _, t := range r.timers {
		s.Timers = append(s.Timers, TimerState{At: t.at, Seq: t.seq, Kind: uint8(t.kind), Request: t.request, Exchange: t.exchange,
			Branch: t.branch, Fault: t.fault, Token: t.token})
	}
	for _, q := range r.requests {
		out := RequestState{Call: q.call, Deadline: q.deadline, Over: q.closed}
		for _, b := range q.branches {
			out.Branches = append(out.Branches, BranchState{ID: b.id, Worker: b.worker, Addr: b.addr, Sent: b.sent, Ended: b.ended,
				Begun: b.started, InDoubt: b.inDoubt, Zone: b.zone, Cell: b.cell, Code: b.code,
				GivenUp: b.givenUp, Released: b.released})
		}
		s.Requests = append(s.Requests, out)
	}
	return s, nil
}

// Sort sorts the lists as the fields of State document. Export leaves this to the code that encodes the state, because
// the reducer is stopped for as long as an export takes.
func (s *State) Sort() {
	slices.SortFunc(s.Workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Timers, func(a, b TimerState) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Seq, b.Seq))
	})
	slices.SortFunc(s.Requests, func(a, b RequestState) int { return cmp.Compare(a.Call.ID, b.Call.ID) })
	slices.Sort(s.Spent)
	slices.Sort(s.Banned)
	slices.SortFunc(s.Returned, func(a, b ReturnState) int { return cmp.Compare(a.Worker, b.Worker) })
}

// Import returns a reducer that continues from an exported state: the same events at the same times have the same
// effects. Classes, tenants and numeric settings may differ from those of the exporting process, within the limits
// documented at choice.Restore. For an inconsistent state it returns an error that wraps ErrState or choice.ErrState.
func Import(s choice.Settings, st State) (*Reducer, error) {
	// Counters near the end of their range would wrap around, and a timer that reschedules itself would then fire
	// forever. NaN times compare as neither before nor after any other.
	if st.TimerSeq > maxCounter || uint64(st.LastID) > maxCounter || st.Decider.Scalars.Token > maxCounter {
		return nil, fmt.Errorf("%w: a running number is over %d", ErrState, uint64(maxCounter))
	}
	if !isTime(st.Now) {
		return nil, fmt.Errorf("%w: now is %v", ErrState, st.Now)
	}
	r := newReducer(st.Now, s)
	r.source, r.routeSetVersion, r.watching, r.lastID, r.timerSeq = st.Source, st.Version, st.Watching, st.LastID, st.TimerSeq
	for i, worker := range st.Workers {
		if _, duplicate := r.workers[worker.ID]; duplicate || worker.State < WorkerActive || worker.State > WorkerLeft {
			return nil, fmt.Errorf("%w: worker %d (%q) is there twice or in no state", ErrState, i, worker.ID)
		}
		r.workers[worker.ID] = worker
	}
	if len(st.Banned) > maxBans {
		return nil, fmt.Errorf("%w: %d workers are out by hand, %d at most", ErrState, len(st.Banned), maxBans)
	}
	r.draining, r.recheckPending = st.Draining, st.Doubted
	for _, id := range st.Banned {
		r.banned[id] = true
	}
	for i, x := range st.Returned {
		if _, listed := r.workers[x.Worker]; !listed || !isTime(x.At) {
			return nil, fmt.Errorf("%w: return %d (%q) is of no worker or at no time", ErrState, i, x.Worker)
		}
		r.restoredAt[x.Worker] = x.At
	}
	for _, id := range st.Spent {
		r.endedIDs[id] = true
	}
	for i, q := range st.Requests {
		if err := r.importRequest(q); err != nil {
			return nil, fmt.Errorf("request %d: %w", i, err)
		}
	}
	for i, t := range st.Timers {
		if k := timerKind(t.Kind); k < timerExpire || k > timerDecider || t.Seq > st.TimerSeq || !isTime(t.At) {
			return nil, fmt.Errorf("%w: timer %d is of unknown kind %d, at no time or out of order", ErrState, i, t.Kind)
		}
		r.timers = append(r.timers, timer{at: t.At, seq: t.Seq, kind: timerKind(t.Kind), request: t.Request, exchange: t.Exchange,
			branch: t.Branch, fault: t.Fault, token: t.Token})
	}
	heap.Init(&r.timers)
	for i, q := range st.Decider.Requests {
		if own := r.requests[RequestID(q.Request.ID)]; own == nil || len(own.branches) != len(q.Attempts) {
			return nil, fmt.Errorf("%w: the decision module's request %d (%q) is not the reducer's", ErrState, i, q.Request.ID)
		}
	}
	r.importAudit(st.Audit)
	if err := r.importFleet(st.Fleet); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrState, err)
	}
	if r.actingMembers > 0 {
		s.Dispatchers = r.actingMembers
	}
	s.TellsTaken = true // the connections to workers report it, as BranchTaken
	d, err := choice.Restore(s, host{r}, st.Decider)
	if err != nil {
		return nil, err
	}
	r.decider = d
	return r, nil
}

func (r *Reducer) importRequest(st RequestState) error {
	if _, known := r.classes[st.Call.Class]; !known {
		return fmt.Errorf("%w: it is of class %q, which the settings do not name", ErrState, st.Call.Class)
	}
	if r.requests[st.Call.ID] != nil || r.endedIDs[st.Call.ID] || r.exchanges[st.Call.Exchange] != nil {
		return fmt.Errorf("%w: id %q or exchange %d is there twice", ErrState, st.Call.ID, st.Call.Exchange)
	}
	if !isTime(st.Deadline) {
		return fmt.Errorf("%w: deadline %v", ErrState, st.Deadline)
	}
	imported := &request{call: st.Call, deadline: st.Deadline, closed: st.Over}
	for no, b := range st.Branches {
		if b.ID > r.lastID || r.branches[b.ID] != nil {
			return fmt.Errorf("%w: branch %d is there twice or not given out yet", ErrState, b.ID)
		}
		restored := &branch{id: b.ID, no: no, req: imported, worker: b.Worker, addr: b.Addr, sent: b.Sent, ended: b.Ended, started: b.Begun,
			inDoubt: b.InDoubt, zone: b.Zone, cell: b.Cell, code: b.Code, givenUp: b.GivenUp, released: b.Released}
		imported.branches = append(imported.branches, restored)
		if !b.Ended {
			imported.open++
			r.branches[b.ID] = restored
		}
	}
	if imported.closed && imported.open == 0 {
		return fmt.Errorf("%w: %q is over and has nothing open", ErrState, st.Call.ID)
	}
	r.requests[st.Call.ID] = imported
	if !imported.closed {
		r.exchanges[st.Call.Exchange] = imported
	}
	return nil
}

// Resume returns the effects to perform before the first step. A predecessor's watch is not handed over: the new one
// starts from the version held, so changes made in between are sent again. Where lists are pushed, the decision module
// never requests the first watch, so it is opened here.
func (r *Reducer) Resume() []Effect {
	if !r.watching {
		return nil
	}
	return []Effect{Watch{On: true, Source: r.source, Since: r.routeSetVersion}}
}

// ProcessStalled reports that the process was stopped until now, so that the decision module does not count this time
// as latency of the workers.
func (r *Reducer) ProcessStalled() { r.decider.ProcessStalled() }

// OpenRequests returns the number of requests that callers are waiting for.
func (r *Reducer) OpenRequests() int { return len(r.exchanges) }

// OpenRequests returns the number of requests that callers are waiting for.
func (s *State) OpenRequests() int {
	n := 0
	for _, q := range s.Requests {
		if !q.Over {
			n++
		}
	}
	return n
}

// Draining reports whether an operator has ordered this dispatcher to drain. A successor continues the drain.
func (r *Reducer) Draining() bool { return r.draining }
