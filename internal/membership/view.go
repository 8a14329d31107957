package membership

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"foldlb.example/foldlb/internal/altered"
)

// Durations in seconds. All times of a view are of the caller's clock; clocks of different machines are never compared.
const (
	reachGraceS         = 5.0   // for a newly known member, or for all members after this process was stopped, to be reached before it is judged Failed
	maxReachabilityGapS = 2.5   // between two reachability reports; a longer gap means that this process was stopped, so verdicts are delayed
	shareDepartedS      = 60.0  // for which a departed member is still sent to others
	keepDepartedS       = 600.0 // for which it is kept; must exceed shareDepartedS, or others would re-add it for ever
	maxHistory          = 256   // changes
)

// entry is the view's state of a member. Times are in seconds.
type entry struct {
	Record
	stateSince       float64 // when its state or verdict last changed
	unreachableSince float64 // 0 while it is reached
	reached          bool    // as of the last reachability report
	suspected        bool    // the transport had to probe it indirectly
	peerDigest       uint64  // digest of its view that it last reported
	peerDigestAt     float64 // 0 for never

	configAt, routesAt float64 // when it was first known to apply its configuration and its route set
	contactAt          float64 // send time of the last lease query that it answered, established and holding the same floors; 0 for none
	answered           bool    // it answered such a query since this process's start
}

// Change is an entry of a view's history. At is in seconds.
type Change struct {
	At   float64
	Key  Key
	What string
	Why  string `cbor:",omitempty"`
}

// View is one member's view of the fleet. It must be used from one goroutine only. Times are in seconds of the caller's clock.
type View struct {
	self            Key
	members         map[Key]*entry
	now             float64
	reachabilityAt  float64 // time of the last reachability report
	startedAt       float64 // when the view was created
	noVerdictsUntil float64 // end of the delay of verdicts after this process was stopped
	changedAt       float64 // when a member, state or verdict last changed
	digest          uint64  // of the floors and of all members that have not departed
	pictureDigest   uint64  // digest as of the last call of ChangedSincePicture
	sortedKeys      []Key   // sorted keys of members; nil if they must be sorted again
	history         []Change
	unreported      []Change     // since the last call of NewChanges
	pendingUpdates  map[Key]bool // members whose records must be sent to others
	floors          map[Kind]*floors
	floorsChanged   bool
	leaseEnd        float64           // end of the lease as of the last call of Fence; -Inf before the first one
	conflicts       []VersionConflict // as of the last reachability report
	established     bool              // this process has learned the fleet's floors since its start
	dropped         uint64            // invalid records and floors, and records refused since the view was full
}

// New returns a view that contains this process's own record, which must pass Check. State, Verdict, Seq, Loser and Why are set here.
func New(now float64, self Record) (*View, error) {
	self.State, self.Verdict, self.Seq, self.Loser, self.Why = Joining, Fine, 1, false, ""
	if err := self.Check(); err != nil {
		return nil, err
	}
	v := newEmptyView(self.Key)
	v.now, v.reachabilityAt, v.startedAt, v.changedAt = now, now, now, now
	v.members[self.Key] = &entry{Record: self, stateSince: now, reached: true}
	v.addHistory(self.Key, "started", "")
	v.queueUpdate(self.Key)
	v.digest = v.computeDigest()
	return v, nil
}

func newEmptyView(self Key) *View {
	return &View{self: self, members: map[Key]*entry{}, pendingUpdates: map[Key]bool{}, floors: map[Kind]*floors{}, leaseEnd: math.Inf(-1)}
}

// Self returns this process's own record.
func (v *View) Self() Record { return v.members[v.self].Record }

// addHistory appends a change to the history.
func (v *View) addHistory(k Key, what, why string) {
	c := Change{At: v.now, Key: k, What: what, Why: why}
	if len(v.history) >= 2*maxHistory { // pictures share the old array, which must not be written to again
		v.history = slices.Clone(v.recentHistory())
	}
	v.history = append(v.history, c)
	if len(v.unreported) < maxHistory { // bounds the memory if members flap and NewChanges isn't called
		v.unreported = append(v.unreported, c)
	}
}

// recentHistory returns the last maxHistory changes. The slice may be shared with readers.
func (v *View) recentHistory() []Change {
	n := len(v.history)
	return v.history[max(0, n-maxHistory):n:n]
}

func (v *View) queueUpdate(k Key) { v.pendingUpdates[k] = true }

// ChangedSincePicture reports whether the view has changed since the last call. Reachability and differing digests aren't considered, since
// a new picture is taken after each reachability report anyway. It must be called before NewChanges.
func (v *View) ChangedSincePicture() bool {
	changed := v.digest != v.pictureDigest || len(v.unreported) > 0
	v.pictureDigest = v.digest
	return changed
}

// changeSelf applies a change to this process's own record and raises its Seq if the record differs.
func (v *View) changeSelf(change func(*Record)) {
	e := v.members[v.self]
	before := e.Record
	change(&e.Record)
	if before == e.Record {
		return
	}
	e.Seq = max(e.Seq, before.Seq) + 1
	e.noteVersionTimes(before, v.now)
	if e.State != before.State {
		e.stateSince, v.changedAt = v.now, v.now
		v.addHistory(v.self, e.State.String(), e.Why)
	}
	v.queueUpdate(v.self)
}

// noteVersionTimes updates the times since when the member applies its present versions.
func (e *entry) noteVersionTimes(before Record, now float64) {
	if e.Config != before.Config {
		e.configAt = now
	}
	if e.Routes != before.Routes {
		e.routesAt = now
	}
}

// beginStep sets the time, which never goes back.
func (v *View) beginStep(now float64) { v.now = max(v.now, now) }

// finishStep updates this process's Loser, deletes members that departed long ago and recomputes the digest.
func (v *View) finishStep() {
	self := v.members[v.self]
	nameTaken, rival := false, Key{}
	for k, e := range v.members {
		if k != v.self && k.Name == v.self.Name && e.Live() && startedFirst(e.Record, self.Record) {
			nameTaken, rival = true, k
		}
	}
	if nameTaken != self.Loser {
		v.changeSelf(func(r *Record) { r.Loser = nameTaken })
		if nameTaken {
			v.addHistory(v.self, "name taken", "another process has this name: "+rival.String()+"; this one serves on and takes no part")
		} else {
			v.addHistory(v.self, "name free", "")
		}
		v.changedAt = v.now
	}
	for k, e := range v.members {
		if k != v.self && e.Departed() && v.now-e.stateSince > keepDepartedS {
			delete(v.members, k)
			v.sortedKeys = nil
		}
	}
	v.digest = v.computeDigest()
}

// startedFirst reports whether a, of two processes with one name, counts as the one that started first: the one with the lower
// incarnation. If clocks differ this may be wrong; what matters is that both processes come to the same result.
func startedFirst(a, b Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Process < b.Process
}

// Merge merges records received from others, in any order. Invalid records are dropped and counted, outdated ones ignored.
func (v *View) Merge(now float64, received []Record) {
	v.beginStep(now)
	changed := false
	for _, r := range received {
		if r.Check() != nil {
			v.dropped++
		} else if v.mergeRecord(r) {
			changed = true
		}
	}
	if changed { // each record arrives about a dozen times; a digest over hundreds of members for each would overload a large fleet
		v.finishStep()
	}
}

// mergeRecord merges a valid record and reports whether the view changed.
func (v *View) mergeRecord(r Record) bool {
	e := v.members[r.Key]
	switch {
	case r.Key == v.self:
		return v.mergeOwn(r)
	case e == nil && len(v.members) >= MaxMembers && !v.evictDeparted():
		v.dropped++
		return false
	case e == nil:
		e = &entry{Record: r, stateSince: v.now, unreachableSince: v.now, configAt: v.now, routesAt: v.now}
		v.members[r.Key], v.sortedKeys = e, nil
		v.noteMerged(r, "")
	case r.compare(e.Record) <= 0 && !altered.Is("stale news wins"):
		return false
	default:
		before := e.Record
		e.Record = r
		e.noteVersionTimes(before, v.now)
		if before.Process != r.Process {
			e.unreachableSince, e.reached, e.peerDigest, e.peerDigestAt, e.contactAt, e.answered = v.now, false, 0, 0, 0, false
			v.noteMerged(r, "")
			e.stateSince = v.now
		} else if before.State != r.State || before.Verdict != r.Verdict {
			e.stateSince = v.now
			v.noteMerged(r, r.Why)
		} else if before.Loser != r.Loser && r.Loser {
			v.addHistory(r.Key, "name taken", "serves on and takes no part")
		}
	}
	v.queueUpdate(r.Key)
	return true
}

func (v *View) noteMerged(r Record, why string) {
	v.changedAt = v.now
	what := r.State.String()
	if r.Verdict != Fine && r.State != Left {
		what = r.Verdict.String()
	}
	v.addHistory(r.Key, what, why)
	for k, e := range v.members {
		if k.Name == r.Name && k != r.Key && e.Live() && r.Live() {
			v.addHistory(r.Key, "name in two places", "also "+k.String())
		}
	}
}

// mergeOwn handles a received record of this process itself. Only this process may change its record, so it overrides a newer one by
// raising its Seq or incarnation. A newer one carries a verdict, is a predecessor's, or is from the other process of a handover that
// fell back.
func (v *View) mergeOwn(r Record) bool {
	e := v.members[v.self]
	if r.compare(e.Record) <= 0 {
		return false
	}
	why := ""
	switch {
	case r.Process != e.Process:
		// The record is a predecessor's, since no other process can listen at this address; its clock was ahead.
		e.Incarnation = r.Incarnation + 1
	case r.Verdict != Fine:
		why = "held as " + r.Verdict.String() + " by others, and refuted"
	}
	e.Seq = max(e.Seq, r.Seq) + 1
	e.Verdict, e.Why = Fine, ""
	if why != "" {
		v.addHistory(v.self, "refuted", why)
	}
	v.queueUpdate(v.self)
	return true
}

// evictDeparted deletes the member that departed first, and reports whether there was one.
func (v *View) evictDeparted() bool {
	var oldest *entry
	for k, e := range v.members {
		if k != v.self && e.Departed() && (oldest == nil || e.stateSince < oldest.stateSince || e.stateSince == oldest.stateSince && e.Key.compare(oldest.Key) < 0) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	delete(v.members, oldest.Key)
	v.sortedKeys = nil
	return true
}

// PeerDigest is the digest of its view that a peer reported.
type PeerDigest struct {
	Process uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"`
}

// Reachability is a report of the transport, by process id.
type Reachability struct {
	Reached    []uint64     `cbor:"1,keyasint,omitempty"`
	Suspected  []uint64     `cbor:"2,keyasint,omitempty"` // did not answer a direct probe
	PeerDigest []PeerDigest `cbor:"3,keyasint,omitempty"`
}

// UpdateReachability applies a report of the transport, and passes verdicts on members that aren't reached. The transport has its own
// suspicion time-out and indirect probes: a member that is no longer reached didn't answer for the whole time-out.
//
// A process that was stopped or got no CPU time finds all time-outs expired when it resumes, although it was the one that didn't
// respond. So after a gap between reports it passes no verdicts for reachGraceS, in which members can be reached again.
func (v *View) UpdateReachability(now float64, s Reachability) {
	v.beginStep(now)
	if v.now-v.reachabilityAt > maxReachabilityGapS {
		v.noVerdictsUntil = v.now + reachGraceS
		v.addHistory(v.self, "stood still", fmt.Sprintf("for %.1f s; nobody is judged for %.0f s", v.now-v.reachabilityAt, reachGraceS))
		for _, e := range v.members {
			if e.unreachableSince != 0 {
				e.unreachableSince = v.now
			}
		}
	}
	v.reachabilityAt = v.now
	v.conflicts = v.findConflicts() // once per report, since a search for each received record would overload a fleet of hundreds
	reached, suspected := processSet(s.Reached), processSet(s.Suspected)
	digests := make(map[uint64]uint64, len(s.PeerDigest))
	for _, h := range s.PeerDigest {
		digests[h.Process] = h.Digest
	}
	reachedAny := false
	for _, k := range v.memberKeys() {
		e := v.members[k]
		if k == v.self {
			continue
		}
		if e.Departed() {
			e.reached, e.suspected = false, false
			continue
		}
		if d, said := digests[e.Process]; said {
			e.peerDigest, e.peerDigestAt = d, v.now
		}
		e.suspected = suspected[e.Process]
		if e.suspected && altered.Is("no second opinion") {
			v.setVerdict(e, Failed, "not answered at once")
		}
		if reached[e.Process] {
			reachedAny = true
			e.reached, e.unreachableSince = true, 0
			if e.Verdict != Fine {
				v.queueUpdate(k) // sent until the member receives and refutes it
			}
			continue
		}
		wasReached := e.reached
		e.reached = false
		if e.unreachableSince == 0 {
			e.unreachableSince = v.now
		}
		if e.Verdict != Fine || v.now < v.noVerdictsUntil || v.Self().Loser {
			continue
		}
		if wasReached || v.now-e.unreachableSince > reachGraceS {
			v.setVerdict(e, Failed, "not reached by "+v.self.Name)
		}
	}
	if v.Self().State == Joining && (reachedAny || v.now-v.startedAt > reachGraceS) {
		v.changeSelf(func(r *Record) { r.State = Serving })
	}
	v.finishStep()
}

func processSet(processes []uint64) map[uint64]bool {
	in := make(map[uint64]bool, len(processes))
	for _, p := range processes {
		in[p] = true
	}
	return in
}

func (v *View) setVerdict(e *entry, verdict Verdict, why string) {
	if len(why) > MaxWhyBytes {
		why = why[:MaxWhyBytes]
	}
	e.Verdict, e.Why, e.stateSince, v.changedAt = verdict, why, v.now, v.now
	v.addHistory(e.Key, verdict.String(), why)
	v.queueUpdate(e.Key)
}

// ConnectionRefused records that the machine of a process refused a connection. A process listens until it ends or hands its listener
// over, so the process has ended.
func (v *View) ConnectionRefused(now float64, process uint64) {
	v.beginStep(now)
	for _, e := range v.members {
		if e.Process == process && e.Key != v.self && !e.Departed() {
			v.setVerdict(e, Gone, "its machine refuses connections, so it has ended; asked by "+v.self.Name)
		}
	}
	v.finishStep()
}

// Reasons for which Remove refuses.
const (
	FaultUnknown = "no member has this name"
	FaultAnswers = "it answers"
	FaultSelf    = "it is this dispatcher"
)

// Remove sets the verdict Gone on all members with a name, as ordered by an operator. It returns the reason if it refuses, otherwise an
// empty string.
func (v *View) Remove(now float64, name string) string {
	v.beginStep(now)
	refusal := FaultUnknown
	for _, k := range v.memberKeys() {
		e := v.members[k]
		switch {
		case k.Name != name || e.Departed() && refusal != FaultUnknown:
		case k == v.self:
			refusal = FaultSelf
		case e.reached:
			return FaultAnswers
		case e.Departed():
			refusal = ""
		default:
			v.setVerdict(e, Gone, "removed by staff at "+v.self.Name)
			refusal = ""
		}
	}
	v.finishStep()
	return refusal
}

// SelfInfo is what a process reports of itself besides its state.
type SelfInfo struct {
	Generation int
	Program    Version
	Config     Version
	Routes     Version
	Zone       string
}

// UpdateSelf updates this process's own record. sentAway switches between Serving and SentAway; later states stay, so a stopping process
// never serves again.
func (v *View) UpdateSelf(now float64, s SelfInfo, sentAway bool) {
	v.beginStep(now)
	v.changeSelf(func(r *Record) {
		r.Generation, r.Program, r.Config, r.Routes, r.Zone = s.Generation, s.Program, s.Config, s.Routes, s.Zone
		if r.State == Serving && sentAway {
			r.State = SentAway
		} else if r.State == SentAway && !sentAway {
			r.State = Serving
		}
	})
	v.finishStep()
}

// AdvanceState sets this process's state unless it is already in a later one.
func (v *View) AdvanceState(now float64, s State) {
	v.beginStep(now)
	v.changeSelf(func(r *Record) { r.State = max(r.State, s) })
	v.finishStep()
}

// Acting returns an upper bound of the number of members that may be acting now, this one included. Only departed members don't count; an
// unreachable member may still serve behind a partition.
func (v *View) Acting() (n int) {
	if altered.Is("naive count") {
		return v.Reached()
	}
	for _, e := range v.members {
		if !e.Departed() {
			n++
		}
	}
	return n
}

// Reached returns how many members were reached as of the last report, this one included.
func (v *View) Reached() (n int) {
	for _, e := range v.members {
		if !e.Departed() && e.reached {
			n++
		}
	}
	return n
}

func (v *View) computeDigest() (d uint64) {
	for _, e := range v.members {
		if !e.Departed() {
			d += e.Record.digest() // commutative, so that no order is needed
		}
	}
	if len(v.floors) > 0 {
		d += v.FloorDigest()
	}
	return d
}

// Digest returns a digest of the floors and of all members that have not departed. Views with equal digests hold the same.
func (v *View) Digest() uint64 { return v.digest }

// Records returns the records of all other members, ordered by key.
func (v *View) Records() (all []Record) {
	for _, k := range v.memberKeys() {
		if k != v.self {
			all = append(all, v.members[k].Record)
		}
	}
	return all
}

// memberKeys returns the sorted keys of members. Callers must not modify the slice.
func (v *View) memberKeys() []Key {
	if v.sortedKeys == nil {
		v.sortedKeys = slices.SortedFunc(maps.Keys(v.members), Key.compare)
	}
	return v.sortedKeys
}

// RecordUpdates returns the records to be sent to others since the last call, ordered by key.
func (v *View) RecordUpdates() []Record {
	var all []Record
	for k := range v.pendingUpdates {
		if e := v.members[k]; e != nil {
			all = append(all, e.Record)
		}
	}
	clear(v.pendingUpdates)
	slices.SortFunc(all, func(a, b Record) int { return a.Key.compare(b.Key) })
	return all
}

// SyncRecords returns the records to send in a full-state exchange, ordered by key.
func (v *View) SyncRecords() []Record {
	var all []Record
	for _, k := range v.memberKeys() {
		if e := v.members[k]; e.isShared(v.now, e.stateSince) {
			all = append(all, e.Record)
		}
	}
	return all
}

// isShared reports whether a record is sent to others. A departed member is sent for a limited time only.
func (r Record) isShared(now, since float64) bool {
	return !r.Departed() || now-since <= shareDepartedS
}

// NewChanges returns the changes since the last call.
func (v *View) NewChanges() []Change {
	all := v.unreported
	v.unreported = nil
	return all
}
