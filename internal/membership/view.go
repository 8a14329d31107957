package membership

import (
	"fmt"
	"maps"
	"slices"

	"foldlb.example/foldlb/internal/altered"
)

// The times of a view, in seconds. They are of one clock, the caller's; nothing here compares clocks of two machines.
const (
	grace       = 5.0   // for a member that was heard of to be reached, and for all others after this process stood still
	lookMost    = 2.5   // between two looks; after a longer gap this process stood still, and its judgement is put off
	tellOver    = 60.0  // for which one that left or is gone is told to others
	keepOver    = 600.0 // for which it is remembered: longer than others tell of it, or it would come back for ever
	mostHistory = 256   // changes
)

// entry is a member in a view.
type entry struct {
	Record
	since   float64 // of its state and verdict
	unseen  float64 // since when it is not reached; 0 while it is
	reached bool    // at the last look
	doubted bool    // the transport had to try other ways to reach it
	heard   uint64  // the digest that it said it held
	heardAt float64 // 0 for never

	configAt, routesAt float64 // since when it is heard to act on its configuration and its route set
	contact            float64 // when a question was sent that it answered holding the floors that are held here; 0 for never
	answered           bool    // a question, at any time since this process's start, holding the floors that are held here
}

// Change is a line of a view's history.
type Change struct {
	At   float64
	Key  Key
	What string
	Why  string `cbor:",omitempty"`
}

// View is one member's view of the fleet. It must be used from one goroutine.
type View struct {
	self        Key
	table       map[Key]*entry
	now         float64
	looked      float64 // when the transport last told who is reached
	begun       float64
	awake       float64 // until when no verdict is passed, since this process stood still
	changed     float64 // when a member, state or verdict last changed
	digest      uint64  // of all that are not over
	shown       uint64  // the digest of the last picture that was due
	order       []Key   // of the table, sorted; nil where that is to be done
	history     []Change
	fresh       []Change // since Fresh was last called
	news        map[Key]bool
	floors      map[Kind]*floors
	floorNews   bool
	clashes     []VersionConflict // as of the last look
	established bool              // this process has learned of the floors since its start
	dropped     uint64            // records refused for want of a place, or of a form that can't be
}

// New begins a view with this process's own record, which must pass Check.
func New(now float64, self Record) (*View, error) {
	self.State, self.Verdict, self.Seq, self.Loser, self.Why = Joining, Fine, 1, false, ""
	if err := self.Check(); err != nil {
		return nil, err
	}
	v := empty(self.Key)
	v.now, v.looked, v.begun, v.changed = now, now, now, now
	v.table[self.Key] = &entry{Record: self, since: now, reached: true}
	v.note(self.Key, "started", "")
	v.tell(self.Key)
	v.digest = v.sum()
	return v, nil
}

func empty(self Key) *View {
	return &View{self: self, table: map[Key]*entry{}, news: map[Key]bool{}, floors: map[Kind]*floors{}}
}

// Self is this process's own record.
func (v *View) Self() Record { return v.table[v.self].Record }

// note enters a change in the history.
func (v *View) note(k Key, what, why string) {
	c := Change{At: v.now, Key: k, What: what, Why: why}
	if len(v.history) >= 2*mostHistory { // danger: pictures share the old one, which is never written to again
		v.history = slices.Clone(v.last())
	}
	v.history = append(v.history, c)
	if len(v.fresh) < mostHistory { // danger: a flapping fleet must not fill the memory of one that nobody asks
		v.fresh = append(v.fresh, c)
	}
}

// last is the history's bounded end, to be shared with those who only read.
func (v *View) last() []Change {
	n := len(v.history)
	return v.history[max(0, n-mostHistory):n:n]
}

func (v *View) tell(k Key) { v.news[k] = true }

// Moved tells whether what a picture shows has changed since it was last asked. What each look brings (who is reached, whose digest
// differs) is not counted: a picture is due after each look anyway. It must be asked before Fresh.
func (v *View) ChangedSincePicture() bool {
	moved := v.digest != v.shown || len(v.fresh) > 0
	v.shown = v.digest
	return moved
}

// say changes this process's own record.
func (v *View) say(change func(*Record)) {
	e := v.table[v.self]
	before := e.Record
	change(&e.Record)
	if before == e.Record {
		return
	}
	e.Seq = max(e.Seq, before.Seq) + 1
	e.acts(before, v.now)
	if e.State != before.State {
		e.since, v.changed = v.now, v.now
		v.note(v.self, e.State.String(), e.Why)
	}
	v.tell(v.self)
}

// acts notes since when a member acts on what it says now.
func (e *entry) acts(was Record, now float64) {
	if e.Config != was.Config {
		e.configAt = now
	}
	if e.Routes != was.Routes {
		e.routesAt = now
	}
}

// begin starts a step: time never goes back.
func (v *View) begin(now float64) { v.now = max(v.now, now) }

// end ends a step: who is a loser, what is forgotten, and the digest.
func (v *View) end() {
	self := v.table[v.self]
	loser, rival := false, Key{}
	for k, e := range v.table {
		if k != v.self && k.Name == v.self.Name && e.Live() && older(e.Record, self.Record) {
			loser, rival = true, k
		}
	}
	if loser != self.Loser {
		v.say(func(r *Record) { r.Loser = loser })
		if loser {
			v.note(v.self, "name taken", "another process has this name: "+rival.String()+"; this one serves on and takes no part")
		} else {
			v.note(v.self, "name free", "")
		}
		v.changed = v.now
	}
	for k, e := range v.table {
		if k != v.self && e.Departed() && v.now-e.since > keepOver {
			delete(v.table, k)
			v.order = nil
		}
	}
	v.digest = v.sum()
}

// older tells which of two processes under one name was there first: the one with the lower incarnation. Where clocks differ
// this may be the other one; what counts is that both tell the same.
func older(a, b Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Process < b.Process
}

// Merge takes in what others tell. Records that can't be are dropped and counted; of the others those that are newer than
// what is held count, in any order.
func (v *View) Merge(now float64, told []Record) {
	v.begin(now)
	news := false
	for _, r := range told {
		if r.Check() != nil {
			v.dropped++
		} else if v.take(r) {
			news = true
		}
	}
	if news { // danger: each record comes a dozen times, and summing up hundreds for each would starve a large fleet
		v.end()
	}
}

// take takes a record in, and tells whether it was news.
func (v *View) take(r Record) bool {
	e := v.table[r.Key]
	switch {
	case r.Key == v.self:
		return v.takeOwn(r)
	case e == nil && len(v.table) >= MaxMembers && !v.makeRoom():
		v.dropped++
		return false
	case e == nil:
		e = &entry{Record: r, since: v.now, unseen: v.now, configAt: v.now, routesAt: v.now}
		v.table[r.Key], v.order = e, nil
		v.noteTaken(r, "")
	case r.compare(e.Record) <= 0 && !altered.Is("stale news wins"):
		return false
	default:
		was := e.Record
		e.Record = r
		e.acts(was, v.now)
		if was.Process != r.Process {
			e.unseen, e.reached, e.heard, e.heardAt, e.contact, e.answered = v.now, false, 0, 0, 0, false
			v.noteTaken(r, "")
			e.since = v.now
		} else if was.State != r.State || was.Verdict != r.Verdict {
			e.since = v.now
			v.noteTaken(r, r.Why)
		} else if was.Loser != r.Loser && r.Loser {
			v.note(r.Key, "name taken", "serves on and takes no part")
		}
	}
	v.tell(r.Key)
	return true
}

func (v *View) noteTaken(r Record, why string) {
	v.changed = v.now
	what := r.State.String()
	if r.Verdict != Fine && r.State != Left {
		what = r.Verdict.String()
	}
	v.note(r.Key, what, why)
	for k, e := range v.table {
		if k.Name == r.Name && k != r.Key && e.Live() && r.Live() {
			v.note(r.Key, "name in two places", "also "+k.String())
		}
	}
}

// takeOwn hears what others tell of this process. It is the only one that may say anything of itself, so what they have that
// is newer is answered by something newer still: a verdict, a predecessor's record, or what the other process of a hand-over
// said that fell back.
func (v *View) takeOwn(r Record) bool {
	e := v.table[v.self]
	if r.compare(e.Record) <= 0 {
		return false
	}
	why := ""
	switch {
	case r.Process != e.Process:
		// Its predecessor's, as nobody else can listen at this address; its clock was ahead of ours.
		e.Incarnation = r.Incarnation + 1
	case r.Verdict != Fine:
		why = "held as " + r.Verdict.String() + " by others, and refuted"
	}
	e.Seq = max(e.Seq, r.Seq) + 1
	e.Verdict, e.Why = Fine, ""
	if why != "" {
		v.note(v.self, "refuted", why)
	}
	v.tell(v.self)
	return true
}

// makeRoom forgets the one that has been over for longest.
func (v *View) makeRoom() bool {
	var oldest *entry
	for k, e := range v.table {
		if k != v.self && e.Departed() && (oldest == nil || e.since < oldest.since || e.since == oldest.since && e.Key.compare(oldest.Key) < 0) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	delete(v.table, oldest.Key)
	v.order = nil
	return true
}

// Heard is what a member said that it holds.
type PeerDigest struct {
	Process uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"`
}

// Sight is what the transport tells, by process.
type Reachability struct {
	Reached    []uint64     `cbor:"1,keyasint,omitempty"`
	Suspected  []uint64     `cbor:"2,keyasint,omitempty"` // reached, but not by a plain question
	PeerDigest []PeerDigest `cbor:"3,keyasint,omitempty"`
}

// Look takes in whom the transport reaches now. The transport has its own suspicions and second opinions: one
// that is no longer among the reached has been suspected by it for as long as a suspicion lasts, and said nothing.
//
// Danger: a process that was stopped, or starved, finds every timer run out when it wakes, though it was itself that did not
// answer. So after a gap it judges nobody for as long as others need to reach it.
func (v *View) UpdateReachability(now float64, s Reachability) {
	v.begin(now)
	if v.now-v.looked > lookMost {
		v.awake = v.now + grace
		v.note(v.self, "stood still", fmt.Sprintf("for %.1f s; nobody is judged for %.0f s", v.now-v.looked, grace))
		for _, e := range v.table {
			if e.unseen != 0 {
				e.unseen = v.now
			}
		}
	}
	v.looked = v.now
	v.clashes = v.findClashes() // danger: for each record that comes, hundreds of members would have no time for anything else
	in, doubted := set(s.Reached), set(s.Suspected)
	digests := make(map[uint64]uint64, len(s.PeerDigest))
	for _, h := range s.PeerDigest {
		digests[h.Process] = h.Digest
	}
	met := false
	for _, k := range v.keys() {
		e := v.table[k]
		if k == v.self {
			continue
		}
		if e.Departed() {
			e.reached, e.doubted = false, false
			continue
		}
		if d, said := digests[e.Process]; said {
			e.heard, e.heardAt = d, v.now
		}
		e.doubted = doubted[e.Process]
		if e.doubted && altered.Is("no second opinion") {
			v.judge(e, Failed, "not answered at once")
		}
		if in[e.Process] {
			met = true
			e.reached, e.unseen = true, 0
			if e.Verdict != Fine {
				v.tell(k) // until it hears of it, and refutes it
			}
			continue
		}
		was := e.reached
		e.reached = false
		if e.unseen == 0 {
			e.unseen = v.now
		}
		if e.Verdict != Fine || v.now < v.awake || v.Self().Loser {
			continue
		}
		if was || v.now-e.unseen > grace {
			v.judge(e, Failed, "not reached by "+v.self.Name)
		}
	}
	if v.Self().State == Joining && (met || v.now-v.begun > grace) {
		v.say(func(r *Record) { r.State = Serving })
	}
	v.end()
}

func set(processes []uint64) map[uint64]bool {
	in := make(map[uint64]bool, len(processes))
	for _, p := range processes {
		in[p] = true
	}
	return in
}

func (v *View) judge(e *entry, verdict Verdict, why string) {
	if len(why) > MaxWhyBytes {
		why = why[:MaxWhyBytes]
	}
	e.Verdict, e.Why, e.since, v.changed = verdict, why, v.now, v.now
	v.note(e.Key, verdict.String(), why)
	v.tell(e.Key)
}

// Refused takes in that the machine at a process's address says that nobody listens there. A process listens for as long as it
// lives, and hands its listener over; so this one has ended.
func (v *View) ConnectionRefused(now float64, process uint64) {
	v.begin(now)
	for _, e := range v.table {
		if e.Process == process && e.Key != v.self && !e.Departed() {
			v.judge(e, Gone, "its machine refuses connections, so it has ended; asked by "+v.self.Name)
		}
	}
	v.end()
}

// The faults of Remove.
const (
	FaultUnknown = "no member has this name"
	FaultAnswers = "it answers"
	FaultSelf    = "it is this dispatcher"
)

// Remove says on staff's word that what ran under a name is gone for good. It returns why not, empty where it is done.
func (v *View) Remove(now float64, name string) string {
	v.begin(now)
	fault := FaultUnknown
	for _, k := range v.keys() {
		e := v.table[k]
		switch {
		case k.Name != name || e.Departed() && fault != FaultUnknown:
		case k == v.self:
			fault = FaultSelf
		case e.reached:
			return FaultAnswers
		case e.Departed():
			fault = ""
		default:
			v.judge(e, Gone, "removed by staff at "+v.self.Name)
			fault = ""
		}
	}
	v.end()
	return fault
}

// Says is what a process says of itself beside its state.
type SelfInfo struct {
	Generation int
	Program    Version
	Config     Version
	Routes     Version
	Zone       string
}

// Say has this process say what it acts on, and whether its callers are sent away. A state that came later stays: one that is
// stopping does not serve again.
func (v *View) UpdateSelf(now float64, s SelfInfo, sentAway bool) {
	v.begin(now)
	v.say(func(r *Record) {
		r.Generation, r.Program, r.Config, r.Routes, r.Zone = s.Generation, s.Program, s.Config, s.Routes, s.Zone
		if r.State == Serving && sentAway {
			r.State = SentAway
		} else if r.State == SentAway && !sentAway {
			r.State = Serving
		}
	})
	v.end()
}

// Enter has this process say that it is stopping, or has left.
func (v *View) AdvanceState(now float64, s State) {
	v.begin(now)
	v.say(func(r *Record) { r.State = max(r.State, s) })
	v.end()
}

// Acting is how many members may be acting now, this one among them: an upper bound. One counts until it left, or until it
// surely acts no more; one that is only out of reach counts, since it may serve behind a partition.
func (v *View) Acting() (n int) {
	if altered.Is("naive count") {
		return v.Reached()
	}
	for _, e := range v.table {
		if !e.Departed() {
			n++
		}
	}
	return n
}

// Reached is how many members were reached at the last look, this one among them: what a view without the bound would count.
func (v *View) Reached() (n int) {
	for _, e := range v.table {
		if !e.Departed() && e.reached {
			n++
		}
	}
	return n
}

func (v *View) sum() (d uint64) {
	for _, e := range v.table {
		if !e.Departed() {
			d += e.Record.digest() // commutative, so that no order is needed
		}
	}
	if len(v.floors) > 0 {
		d += v.FloorDigest()
	}
	return d
}

// Digest is of all members that are not over. Two views with one digest hold the same.
func (v *View) Digest() uint64 { return v.digest }

// Records are those of all other members, by key.
func (v *View) Records() (all []Record) {
	for _, k := range v.keys() {
		if k != v.self {
			all = append(all, v.table[k].Record)
		}
	}
	return all
}

// keys are those of the table, sorted. They are not to be written to.
func (v *View) keys() []Key {
	if v.order == nil {
		v.order = slices.SortedFunc(maps.Keys(v.table), Key.compare)
	}
	return v.order
}

// News returns the records to be told to others since it was last called, by key.
func (v *View) RecordUpdates() []Record {
	var all []Record
	for k := range v.news {
		if e := v.table[k]; e != nil {
			all = append(all, e.Record)
		}
	}
	clear(v.news)
	slices.SortFunc(all, func(a, b Record) int { return a.Key.compare(b.Key) })
	return all
}

// Told returns what is told to a member that asks for everything.
func (v *View) SyncRecords() []Record {
	var all []Record
	for _, k := range v.keys() {
		if e := v.table[k]; e.told(v.now, e.since) {
			all = append(all, e.Record)
		}
	}
	return all
}

// told tells whether a record is told to others: one that is over only for some time.
func (r Record) told(now, since float64) bool { return !r.Departed() || now-since <= tellOver }

// Fresh returns the changes since it was last called.
func (v *View) NewChanges() []Change {
	all := v.fresh
	v.fresh = nil
	return all
}
