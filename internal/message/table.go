package message

import (
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

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*Entry{}, partitions: map[uint32]*partition{}, routes: map[string]*routeQueue{}}
}

// Get returns the message of this name, or nil.
func (t *Table) Get(name string) *Entry { return t.entries[name] }

// Queued returns how many messages have not ended.
func (t *Table) Queued() int { return t.queued }

// Len returns how many messages are known, ended ones included.
func (t *Table) Len() int { return len(t.entries) }

// LiveBytes returns the bytes of all bodies that are still owed.
func (t *Table) LiveBytes() int { return t.liveBytes }

// Number gives the entry the next place in an owned partition.
func (t *Table) AssignSeq(e *Entry) {
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
		t.MarkEnded(known, told.State, told.Stamp, now)
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

// Finish ends an attempt and the message with it.
func (t *Table) FinishAttempt(e *Entry, state rpc.State, stamp string, now time.Duration) {
	t.stopRunning(e)
	t.MarkEnded(e, state, stamp, now)
	t.releaseKey(e, now)
}

// End marks the message ended. An end that is known stands, except that a success replaces a dead letter. It reports
// whether anything changed.
func (t *Table) MarkEnded(e *Entry, state rpc.State, stamp string, now time.Duration) bool {
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

// Each calls visit with every message.
func (t *Table) Each(visit func(*Entry)) {
	for _, e := range t.entries {
		visit(e)
	}
}

// Drop forgets a queued message that this store neither owns nor holds: others do. No attempt of it may be under way.
func (t *Table) Remove(e *Entry) {
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
func (t *Table) ExpireEnded(keep, now time.Duration) int {
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
