package core

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"slices"

	"foldlb.example/foldlb/choice"
)

// State is all that a reducer remembers, as a value: what a successor needs to go on without a seam. Times are
// seconds on the dispatcher's clock.
type State struct {
	Now      float64
	Source   Source
	Version  int64 // of the route set that the source told; VersionUnknown before the first
	Watching bool
	Workers  []Worker `cbor:"Hops"` // by id
	LastID   BranchID
	TimerSeq uint64
	Timers   []TimerState   // in the order in which they come due
	Requests []RequestState // by id
	Spent    []RequestID    // ids of requests that have ended, before their deadlines
	Banned   []WorkerID     `cbor:",omitempty"` // out by hand
	Returned []ReturnState  `cbor:",omitempty"` // put back by hand
	Draining bool           // by hand
	Doubted  bool           `cbor:",omitempty"` // the source was asked for its whole list, since what it told was odd
	Fleet    *FleetState    `cbor:",omitempty"`
	Audit    *AuditState    `cbor:",omitempty"`
	Decider  choice.Snapshot
}

// ReturnState is a worker that was put back by hand, and when.
type ReturnState struct {
	Worker WorkerID `cbor:"Hop"`
	At     float64
}

// TimerState is a timer that is set. Which of the last five fields count depends on Kind.
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

// RequestState is a request that is unanswered, or has an open branch.
type RequestState struct {
	Call     Call
	Deadline float64
	Over     bool
	Branches []BranchState
}

// BranchState is one attempt of a request.
type BranchState struct {
	ID      BranchID
	Worker  WorkerID `cbor:"Hop"`
	Addr    string
	Sent    float64
	Ended   bool
	Begun   bool
	InDoubt bool
	Zone    string `cbor:",omitempty"`
	Cell    int    `cbor:",omitempty"`
	// How it ended, or will once it is released; an older program's is Done, which may have run.
	Code     choice.Code `cbor:",omitempty"`
	GivenUp  bool        `cbor:",omitempty"`
	Released bool        `cbor:",omitempty"`
}

// ErrState says that a state can't be taken up. Import's errors wrap it and name what does not fit.
var ErrState = errors.New("core: state not usable")

const (
	mostNumber = 1 << 62 // of what counts up
	mostTime   = 1e12    // seconds
)

func isTime(t float64) bool { return t >= -mostTime && t <= mostTime }

// Export returns all that the reducer remembers, between two steps. Messages' bodies are shared with the
// reducer, which never writes to them; everything else is a copy.
func (r *Reducer) Export() (State, error) {
	decider, err := r.decider.Export()
	if err != nil {
		return State{}, err
	}
	s := State{Now: r.now, Source: r.source, Version: r.version, Watching: r.watching, LastID: r.lastID,
		TimerSeq: r.timerSeq, Draining: r.draining, Doubted: r.doubted, Fleet: r.exportFleet(), Audit: r.exportAudit(), Decider: decider, Spent: make([]RequestID, 0, len(r.spent)),
		Timers: make([]TimerState, 0, len(r.timers)), Requests: make([]RequestState, 0, len(r.requests))}
	for id := range r.spent {
		s.Spent = append(s.Spent, id)
	}
	for id := range r.banned {
		s.Banned = append(s.Banned, id)
	}
	for id, at := range r.returned {
		s.Returned = append(s.Returned, ReturnState{Worker: id, At: at})
	}
	for _, h := range r.workers {
		s.Workers = append(s.Workers, h)
	}
	for _, t := range r.timers {
		s.Timers = append(s.Timers, TimerState{At: t.at, Seq: t.seq, Kind: uint8(t.kind), Request: t.request, Exchange: t.exchange,
			Branch: t.branch, Fault: t.fault, Token: t.token})
	}
	for _, q := range r.requests {
		out := RequestState{Call: q.call, Deadline: q.deadline, Over: q.over}
		for _, b := range q.branches {
			out.Branches = append(out.Branches, BranchState{ID: b.id, Worker: b.worker, Addr: b.addr, Sent: b.sent, Ended: b.ended,
				Begun: b.begun, InDoubt: b.inDoubt, Zone: b.zone, Cell: b.cell, Code: b.code,
				GivenUp: b.givenUp, Released: b.released})
		}
		s.Requests = append(s.Requests, out)
	}
	return s, nil
}

// Sort puts everything into the order that its fields name. Export leaves it to whoever writes the state down, since
// the reducer stands still for as long as an export takes.
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

// Import makes a reducer that goes on where the exported one stood: the same events at the same times have the
// same effects. Classes, tenants and figures of the settings may differ from the exported one's, as
// choice.Restore says. A state that does not fit together is an error that wraps ErrState or choice.ErrState.
func Import(s choice.Settings, st State) (*Reducer, error) {
	// Danger: numbers near their ends would wrap, and a timer that sets itself anew would fire without end; times
	// that are no numbers compare as neither before nor after.
	if st.TimerSeq > mostNumber || uint64(st.LastID) > mostNumber || st.Decider.Scalars.Token > mostNumber {
		return nil, fmt.Errorf("%w: a running number is over %d", ErrState, uint64(mostNumber))
	}
	if !isTime(st.Now) {
		return nil, fmt.Errorf("%w: now is %v", ErrState, st.Now)
	}
	r := empty(st.Now, s)
	r.source, r.version, r.watching, r.lastID, r.timerSeq = st.Source, st.Version, st.Watching, st.LastID, st.TimerSeq
	for i, h := range st.Workers {
		if _, twice := r.workers[h.ID]; twice || h.State < WorkerActive || h.State > WorkerLeft {
			return nil, fmt.Errorf("%w: worker %d (%q) is there twice or in no state", ErrState, i, h.ID)
		}
		r.workers[h.ID] = h
	}
	if len(st.Banned) > mostBans {
		return nil, fmt.Errorf("%w: %d workers are out by hand, %d at most", ErrState, len(st.Banned), mostBans)
	}
	r.draining, r.doubted = st.Draining, st.Doubted
	for _, id := range st.Banned {
		r.banned[id] = true
	}
	for i, x := range st.Returned {
		if _, listed := r.workers[x.Worker]; !listed || !isTime(x.At) {
			return nil, fmt.Errorf("%w: return %d (%q) is of no worker or at no time", ErrState, i, x.Worker)
		}
		r.returned[x.Worker] = x.At
	}
	for _, id := range st.Spent {
		r.spent[id] = true
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
	if r.acting > 0 {
		s.Dispatchers = r.acting
	}
	s.TellsTaken = true // as BranchTaken
	d, err := choice.Restore(s, host{r}, st.Decider)
	if err != nil {
		return nil, err
	}
	r.decider = d
	return r, nil
}

func (r *Reducer) importRequest(q RequestState) error {
	if _, known := r.classes[q.Call.Class]; !known {
		return fmt.Errorf("%w: it is of class %q, which the settings do not name", ErrState, q.Call.Class)
	}
	if r.requests[q.Call.ID] != nil || r.spent[q.Call.ID] || r.exchanges[q.Call.Exchange] != nil {
		return fmt.Errorf("%w: id %q or exchange %d is there twice", ErrState, q.Call.ID, q.Call.Exchange)
	}
	if !isTime(q.Deadline) {
		return fmt.Errorf("%w: deadline %v", ErrState, q.Deadline)
	}
	to := &request{call: q.Call, deadline: q.Deadline, over: q.Over}
	for no, b := range q.Branches {
		if b.ID > r.lastID || r.branches[b.ID] != nil {
			return fmt.Errorf("%w: branch %d is there twice or not given out yet", ErrState, b.ID)
		}
		own := &branch{id: b.ID, no: no, req: to, worker: b.Worker, addr: b.Addr, sent: b.Sent, ended: b.Ended, begun: b.Begun,
			inDoubt: b.InDoubt, zone: b.Zone, cell: b.Cell, code: b.Code, givenUp: b.GivenUp, released: b.Released}
		to.branches = append(to.branches, own)
		if !b.Ended {
			to.open++
			r.branches[b.ID] = own
		}
	}
	if to.over && to.open == 0 {
		return fmt.Errorf("%w: %q is over and has nothing open", ErrState, q.Call.ID)
	}
	r.requests[q.Call.ID] = to
	if !to.over {
		r.exchanges[q.Call.Exchange] = to
	}
	return nil
}

// Resume returns the effects that are performed before the first step. A predecessor's watch does not pass on: what
// was told meanwhile is told again from the version held. And where lists are pushed, nobody asks for the first watch.
func (r *Reducer) Resume() []Effect {
	if !r.watching {
		return nil
	}
	return []Effect{Watch{On: true, Source: r.source, Since: r.version}}
}

// ProcessStalled says that everything was held until now, so that the time is not taken for slowness of the workers.
func (r *Reducer) ProcessStalled() { r.decider.ProcessStalled() }

// Open counts the requests that callers wait for.
func (r *Reducer) OpenRequests() int { return len(r.exchanges) }

// Open counts the requests that callers wait for.
func (s *State) OpenRequests() int {
	n := 0
	for _, q := range s.Requests {
		if !q.Over {
			n++
		}
	}
	return n
}

// Draining tells whether callers are sent away by hand, which a successor goes on with.
func (r *Reducer) Draining() bool { return r.draining }
