package message

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Table holds the messages of one store: those of partitions that it owns, and copies of others. It is not safe for concurrent
// use.
type Table struct {
	entries       map[string]*Entry
	partitions    map[uint32]*partition
	delayed       dueHeap // owned entries that are not due yet
	routes        map[string]*routeQueue
	routing       Routing
	ended         []*Entry // in the order in which they ended on this store
	queued        int      // entries that have not ended
	liveBytes     int      // body bytes of entries that have not ended
	configVersion uint64   // see ConfigVersion
	retention     time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*Entry{}, partitions: map[uint32]*partition{}, routes: map[string]*routeQueue{}, routing: acceptedRouting}
}

// ConfigVersion returns the newest configuration under which a message of a partition owned here was accepted, or that RequireConfig named. What
// becomes of messages must not be decided by an older one. Copies for other owners do not count, as nothing is decided about them here.
func (t *Table) ConfigVersion() uint64 { return t.configVersion }

// RequireConfig raises ConfigVersion to at least this version.
func (t *Table) RequireConfig(version uint64) { t.configVersion = max(t.configVersion, version) }

// ForgetConfig lowers ConfigVersion to the newest version that still exists, after the later ones were lost.
func (t *Table) ForgetConfig(newest uint64) { t.configVersion = min(t.configVersion, newest) }

// Retention returns the longest retention that was promised to a message that was added here.
func (t *Table) Retention() time.Duration { return t.retention }

// Get returns the message with this name, or nil.
func (t *Table) Get(name string) *Entry { return t.entries[name] }

// Queued returns the number of messages that have not ended.
func (t *Table) Queued() int { return t.queued }

// Len returns the number of known messages, including ended ones.
func (t *Table) Len() int { return len(t.entries) }

// LiveBytes returns the total size of the bodies of messages that have not ended, in bytes.
func (t *Table) LiveBytes() int { return t.liveBytes }

// AssignSeq assigns the next sequence number of the entry's partition. It panics if the partition is not owned.
func (t *Table) AssignSeq(e *Entry) {
	p := t.partition(e.Partition)
	if p.epoch == 0 {
		panic("message: sequence number assigned in a partition that is not owned")
	}
	p.lastSeq++
	e.Epoch, e.Seq = p.epoch, p.lastSeq
}

// Add adds a message. If it is already known, its state is merged into the existing entry. Add returns the entry that the table
// holds.
func (t *Table) Add(e *Entry, now time.Duration) *Entry {
	if t.OwnedEpoch(e.Partition) > 0 {
		t.RequireConfig(e.Promise.ConfigVersion)
	}
	t.retention = max(t.retention, e.Promise.Retention)
	if known := t.entries[e.Name]; known != nil {
		t.merge(known, e, now)
		return known
	}
	t.entries[e.Name] = e
	p := t.partition(e.Partition)
	p.messages[e.Name] = e
	if e.Ended() {
		t.ended = append(t.ended, e)
		e.Body = nil
		return e
	}
	t.queued++
	t.liveBytes += e.BodyBytes
	if e.OrderKey != "" {
		p.addToKeyQueue(e)
	}
	t.schedule(p, e, now)
	return e
}

// merge applies the attempts, the end and the sequence number of update to a known entry.
func (t *Table) merge(known, update *Entry, now time.Duration) {
	if known.Attempts < update.Attempts {
		known.Attempts = update.Attempts
	}
	if update.Ended() {
		t.MarkEnded(known, update.State, update.Stamp, now)
		return
	}
	if known.Seq == 0 && update.Seq > 0 && !known.Ended() {
		p := t.partition(known.Partition)
		p.removeFromKeyQueue(known)
		known.Epoch, known.Seq = update.Epoch, update.Seq
		if known.OrderKey != "" {
			p.addToKeyQueue(known)
		}
	}
}

// FinishAttempt ends an attempt in progress, and the message with it.
func (t *Table) FinishAttempt(e *Entry, state rpc.State, stamp string, now time.Duration) {
	t.endAttempt(e)
	t.MarkEnded(e, state, stamp, now)
	t.scheduleNextOfKey(e, now)
}

// MarkEnded marks a message as ended. A message that has already ended keeps its state, except that a success replaces a dead
// letter. MarkEnded reports whether the state changed, and panics if state is QUEUED.
func (t *Table) MarkEnded(e *Entry, state rpc.State, stamp string, now time.Duration) bool {
	if state == rpc.State_QUEUED {
		panic("message: marked as ended with state QUEUED")
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
	t.scheduleNextOfKey(e, now)
	return true
}

// Each calls visit for every message.
func (t *Table) Each(visit func(*Entry)) {
	for _, e := range t.entries {
		visit(e)
	}
}

// Remove removes a queued message that this store neither owns nor stores; other stores hold it. It panics if the message is
// still needed here or an attempt is in progress.
func (t *Table) Remove(e *Entry) {
	if e.Ended() || e.Running || e.Stored || t.OwnedEpoch(e.Partition) > 0 {
		panic("message: removed while still needed")
	}
	t.unschedule(e)
	t.partition(e.Partition).removeFromKeyQueue(e)
	delete(t.partition(e.Partition).messages, e.Name)
	delete(t.entries, e.Name)
	t.queued--
	t.liveBytes -= e.BodyBytes
}

// ExpireEnded removes messages that ended more than retention ago, and returns their number.
func (t *Table) ExpireEnded(retention, now time.Duration) int {
	count := 0
	for len(t.ended) > 0 {
		e := t.ended[0]
		if now-e.EndedAt <= retention || e.Running {
			break
		}
		t.ended = t.ended[1:]
		if t.entries[e.Name] == e {
			delete(t.entries, e.Name)
			delete(t.partition(e.Partition).messages, e.Name)
			count++
		}
	}
	return count
}
