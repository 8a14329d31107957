package message

import (
	"container/heap"
	"sort"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Table holds the messages of one store: those of partitions that it owns, and copies of others. It is not safe for
// concurrent use.
type Table struct {
	entries    map[string]*Entry
	partitions map[uint32]*partition
	timers     timerHeap
	routes     map[string]*routeQueue
	ended      []*Entry // in the order in which they ended here
	queued     int      // entries that have not ended
	liveBytes  int      // body bytes of entries whose body is still owed
}

// partition is what the table knows of one partition.
type partition struct {
	fence   uint64 // writes of an older epoch are refused
	epoch   uint64 // epoch under which this store owns it; 0 where it does not
	ready   bool   // what other stores hold of it is known
	paused  bool   // to be released: nothing new is begun
	running int
	nextSeq uint64
	members map[string]*Entry
	keys    map[string][]*Entry // queued messages of each order key, in order
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*Entry{}, partitions: map[uint32]*partition{}, routes: map[string]*routeQueue{}}
}

func (t *Table) partition(id uint32) *partition {
	p := t.partitions[id]
	if p == nil {
		p = &partition{members: map[string]*Entry{}, keys: map[string][]*Entry{}}
		t.partitions[id] = p
	}
	return p
}

// Get returns the message of this name, or nil.
func (t *Table) Get(name string) *Entry { return t.entries[name] }

// Queued returns how many messages have not ended.
func (t *Table) Queued() int { return t.queued }

// Len returns how many messages are known, ended ones included.
func (t *Table) Len() int { return len(t.entries) }

// LiveBytes returns the bytes of all bodies that are still owed.
func (t *Table) LiveBytes() int { return t.liveBytes }

// Fence returns the epoch below which writes to the partition are refused.
func (t *Table) Fence(id uint32) uint64 { return t.partition(id).fence }

// Fences returns the fence of every partition that has one.
func (t *Table) Fences() map[uint32]uint64 {
	fences := map[uint32]uint64{}
	for id, p := range t.partitions {
		if p.fence > 0 {
			fences[id] = p.fence
		}
	}
	return fences
}

// RaiseFence refuses writes below epoch from now on. It reports whether the fence rose.
func (t *Table) RaiseFence(id uint32, epoch uint64) bool {
	p := t.partition(id)
	if epoch <= p.fence {
		return false
	}
	p.fence = epoch
	return true
}

// Own begins the ownership of a partition, which stays idle until Ready.
func (t *Table) Own(id uint32, epoch uint64) {
	p := t.partition(id)
	if epoch < p.fence {
		panic("message: a partition is owned under an epoch that is fenced off")
	}
	p.fence = epoch
	p.epoch, p.ready, p.paused, p.nextSeq = epoch, false, false, 0
}

// Disown ends the ownership of a partition. Attempts under way go on; their outcomes are still taken.
func (t *Table) Disown(id uint32) {
	p := t.partition(id)
	p.epoch, p.ready, p.paused = 0, false, false
	for _, e := range p.members {
		t.unschedule(e)
		e.Body = nil
	}
}

// OwnedEpoch returns the epoch under which this store owns the partition; 0 where it does not.
func (t *Table) OwnedEpoch(id uint32) uint64 { return t.partition(id).epoch }

// IsReady reports whether the partition is owned and what other stores hold of it is known.
func (t *Table) IsReady(id uint32) bool {
	p := t.partition(id)
	return p.epoch > 0 && p.ready
}

// Ready begins to run the messages of an owned partition.
func (t *Table) Ready(id uint32, now time.Duration) {
	p := t.partition(id)
	p.ready = true
	for _, e := range p.members {
		t.schedule(p, e, now)
	}
}

// Pause begins no further attempts of the partition, and Running tells when none is left.
func (t *Table) Pause(id uint32) {
	p := t.partition(id)
	if p.paused {
		return
	}
	p.paused = true
	for _, e := range p.members {
		t.unschedule(e)
	}
}

// Resume takes a pause back.
func (t *Table) Resume(id uint32, now time.Duration) {
	p := t.partition(id)
	if !p.paused {
		return
	}
	p.paused = false
	for _, e := range p.members {
		t.schedule(p, e, now)
	}
}

// Running returns how many attempts of the partition are under way.
func (t *Table) Running(id uint32) int { return t.partition(id).running }

// Number gives the entry the next place in an owned partition.
func (t *Table) Number(e *Entry) {
	p := t.partition(e.Partition)
	if p.epoch == 0 {
		panic("message: numbered in a partition that is not owned")
	}
	p.nextSeq++
	e.Epoch, e.Seq = p.epoch, p.nextSeq
}

// Add enters a message, or merges what is told of one that is known. It returns the entry that the table holds.
func (t *Table) Add(e *Entry, now time.Duration) *Entry {
	if known := t.entries[e.Name]; known != nil {
		t.merge(known, e, now)
		return known
	}
	t.entries[e.Name] = e
	p := t.partition(e.Partition)
	p.members[e.Name] = e
	if e.Ended() {
		t.ended = append(t.ended, e)
		e.Body = nil
		return e
	}
	t.queued++
	t.liveBytes += e.BodyBytes
	if e.OrderKey != "" {
		p.insertKey(e)
	}
	t.schedule(p, e, now)
	return e
}

func (t *Table) merge(known, told *Entry, now time.Duration) {
	if known.Attempts < told.Attempts {
		known.Attempts = told.Attempts
	}
	if told.Ended() {
		t.End(known, told.State, told.Stamp, now)
		return
	}
	if known.Seq == 0 && told.Seq > 0 && !known.Ended() {
		p := t.partition(known.Partition)
		p.removeKey(known)
		known.Epoch, known.Seq = told.Epoch, told.Seq
		if known.OrderKey != "" {
			p.insertKey(known)
		}
	}
}

func (p *partition) insertKey(e *Entry) {
	queue := p.keys[e.OrderKey]
	at := sort.Search(len(queue), func(i int) bool { return e.before(queue[i]) })
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = e
	p.keys[e.OrderKey] = queue
}

func (p *partition) removeKey(e *Entry) {
	if e.OrderKey == "" {
		return
	}
	queue := p.keys[e.OrderKey]
	for i, other := range queue {
		if other == e {
			queue = append(queue[:i], queue[i+1:]...)
			break
		}
	}
	if len(queue) == 0 {
		delete(p.keys, e.OrderKey)
		return
	}
	p.keys[e.OrderKey] = queue
}

// first reports whether no other message of its key runs before e.
func (p *partition) first(e *Entry) bool {
	if e.OrderKey == "" {
		return true
	}
	queue := p.keys[e.OrderKey]
	if len(queue) == 0 || queue[0] != e {
		return false
	}
	for _, other := range queue[1:] {
		if other.Running {
			return false
		}
	}
	return true
}

// schedule lets the entry run when it is due, where the partition and its key allow it.
func (t *Table) schedule(p *partition, e *Entry, now time.Duration) {
	if e.scheduled || e.Running || e.Ended() || p.epoch == 0 || !p.ready || p.paused || !p.first(e) {
		return
	}
	e.scheduled = true
	if e.Due <= now {
		t.route(e.Route).push(e)
		return
	}
	heap.Push(&t.timers, e)
}

func (t *Table) unschedule(e *Entry) {
	if !e.scheduled {
		return
	}
	e.scheduled = false
	if e.index >= 0 && e.index < len(t.timers) && t.timers[e.index] == e {
		heap.Remove(&t.timers, e.index)
	}
	// An entry in a route's queue is skipped when it comes up.
}

func (t *Table) route(name string) *routeQueue {
	q := t.routes[name]
	if q == nil {
		q = &routeQueue{}
		t.routes[name] = q
	}
	return q
}

// NextDue returns when the next waiting message becomes due, and false where none waits.
func (t *Table) NextDue() (time.Duration, bool) {
	if len(t.timers) == 0 {
		return 0, false
	}
	return t.timers[0].Due, true
}

// Advance moves messages that have become due to the queues of their routes.
func (t *Table) Advance(now time.Duration) {
	for len(t.timers) > 0 && t.timers[0].Due <= now {
		e := heap.Pop(&t.timers).(*Entry)
		t.route(e.Route).push(e)
	}
}

// Routes calls visit with every route that has messages waiting to run, and the number of its attempts under way.
func (t *Table) Routes(visit func(route string, waiting, running int)) {
	for name, q := range t.routes {
		if q.len() > 0 {
			visit(name, q.len(), q.running)
		}
	}
}

// Start takes the next message of the route that may run, and marks it running. A message that can still begin within
// its aim goes before late ones, of which one in four goes first so that none starves. It returns nil where none may run.
func (t *Table) Start(route string, aim, now time.Duration) *Entry {
	q := t.route(route)
	for {
		e := q.pop(aim, now)
		if e == nil {
			return nil
		}
		p := t.partition(e.Partition)
		if !e.scheduled || e.Due > now { // left over from an earlier place in the queue
			continue
		}
		if e.Running || e.Ended() || p.epoch == 0 || !p.ready || p.paused || !p.first(e) {
			e.scheduled = false
			continue
		}
		e.scheduled, e.Running = false, true
		p.running++
		q.running++
		return e
	}
}

// Stop ends an attempt that left the message queued: it may run again from due on.
func (t *Table) Stop(e *Entry, due, now time.Duration) {
	t.stopRunning(e)
	if e.Ended() {
		t.releaseKey(e, now)
		return
	}
	e.Due = max(e.Due, due)
	p := t.partition(e.Partition)
	if e.OrderKey != "" { // one that goes before it may have been learnt meanwhile
		e = p.keys[e.OrderKey][0]
	}
	t.schedule(p, e, now)
}

func (t *Table) stopRunning(e *Entry) {
	if !e.Running {
		panic("message: an attempt ended that was not under way")
	}
	e.Running = false
	t.partition(e.Partition).running--
	t.route(e.Route).running--
}

// Finish ends an attempt and the message with it.
func (t *Table) Finish(e *Entry, state rpc.State, stamp string, now time.Duration) {
	t.stopRunning(e)
	t.End(e, state, stamp, now)
	t.releaseKey(e, now)
}

// End marks the message ended. An end that is known stands, except that a success replaces a dead letter. It reports
// whether anything changed.
func (t *Table) End(e *Entry, state rpc.State, stamp string, now time.Duration) bool {
	if state == rpc.State_QUEUED {
		panic("message: ended without a state")
	}
	if e.Ended() {
		if e.State == rpc.State_DEAD && state == rpc.State_COMPLETED {
			e.State, e.Stamp = state, stamp
			return true
		}
		return false
	}
	t.unschedule(e)
	e.State, e.Stamp, e.EndedAt = state, stamp, now
	e.Body = nil
	t.queued--
	t.liveBytes -= e.BodyBytes
	t.ended = append(t.ended, e)
	t.releaseKey(e, now)
	return true
}

// releaseKey lets the next message of the key run once e has ended and no attempt of it is under way.
func (t *Table) releaseKey(e *Entry, now time.Duration) {
	if e.OrderKey == "" || e.Running {
		return
	}
	p := t.partition(e.Partition)
	p.removeKey(e)
	if queue := p.keys[e.OrderKey]; len(queue) > 0 {
		t.schedule(p, queue[0], now)
	}
}

// Partition calls visit with every message of the partition.
func (t *Table) Partition(id uint32, visit func(*Entry)) {
	for _, e := range t.partition(id).members {
		visit(e)
	}
}

// Each calls visit with every message.
func (t *Table) Each(visit func(*Entry)) {
	for _, e := range t.entries {
		visit(e)
	}
}

// Drop forgets a queued message that this store neither owns nor holds: others do. No attempt of it may be under way.
func (t *Table) Drop(e *Entry) {
	if e.Ended() || e.Running || e.Stored || t.OwnedEpoch(e.Partition) > 0 {
		panic("message: dropped while it is needed")
	}
	t.unschedule(e)
	t.partition(e.Partition).removeKey(e)
	delete(t.partition(e.Partition).members, e.Name)
	delete(t.entries, e.Name)
	t.queued--
	t.liveBytes -= e.BodyBytes
}

// Forget drops messages that ended longer than keep ago. It returns how many.
func (t *Table) Forget(keep, now time.Duration) int {
	count := 0
	for len(t.ended) > 0 {
		e := t.ended[0]
		if now-e.EndedAt <= keep || e.Running {
			break
		}
		t.ended = t.ended[1:]
		if t.entries[e.Name] == e {
			delete(t.entries, e.Name)
			delete(t.partition(e.Partition).members, e.Name)
			count++
		}
	}
	return count
}
