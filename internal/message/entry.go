// Package message is the state machine of the messages that a store keeps: which are queued, which may run now, and what
// became of each. It does no I/O and reads no clock: the caller passes the time, a duration since the start of the process.
package message

import (
	"slices"
	"time"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/rpc"
)

// Entry is one message. Its fields are the table's; callers read them on the goroutine that owns the table.
type Entry struct {
	Name        string
	Partition   uint32
	Route       string
	Method      string
	Path        string
	Host        string
	RequestID   string
	OrderKey    string
	ContentType string
	Epoch       uint64 // epoch under which an owner numbered it
	Seq         uint64 // 0 where no owner has numbered it
	Arrived     time.Duration
	Due         time.Duration // before this it may not run
	Attempts    uint32        // answers of 500
	State       rpc.State
	Stamp       string
	EndedAt     time.Duration
	BodyBytes   int
	Body        []byte // cached; nil where it must be read from the log
	Stored      bool   // this store's log holds the message with its body
	Unreadable  bool   // though the log holds it, the record can't be read
	SilentReads uint8  // readings in a row that a holder has left unanswered
	Record      applog.Position
	Holders     []string // disks of other stores that hold a copy, as far as the owner knows
	Running     bool
	ReadUnder   uint64        // newest table of owners under which enough copies had all been read and found good, or were written
	ScrubAt     time.Duration // when a holder next asks the owner about it
	RepairAt    time.Duration // when the owner next restores a copy that is missing
	PlacedUnder uint64        // table of owners under which a dispatcher began to place the copy here; 0 where that isn't known
	OwnerKnows  bool          // a copy that a dispatcher wrote round the owner: the owner has been told of it
	Accepting   uint64        // version of the map under which it is being accepted; 0 once that is over
	EnoughAt    uint64        // version of the map by which its end was found to be on enough disks; 0 for none
	Retries     int           // attempts of any outcome since this store owned it

	scheduled bool // in the timer heap or in a route's queue
	index     int
}

// Ended reports whether nothing more is owed for the message.
func (e *Entry) Ended() bool { return e.State != rpc.State_QUEUED }

// before orders messages of one key.
func (e *Entry) before(other *Entry) bool {
	if e.Epoch != other.Epoch {
		return e.Epoch < other.Epoch
	}
	return e.Seq < other.Seq
}

// AddHolder notes that the store with this disk holds a copy.
func (e *Entry) AddHolder(disk string) {
	for _, known := range e.Holders {
		if known == disk {
			return
		}
	}
	e.Holders = append(e.Holders, disk)
}

// RemoveHolder notes that the store with this disk holds no copy that counts. It reports whether it was known as a holder.
func (e *Entry) RemoveHolder(disk string) bool {
	position := slices.Index(e.Holders, disk)
	if position < 0 {
		return false
	}
	e.Holders = slices.Delete(slices.Clone(e.Holders), position, position+1)
	return true
}

// HasLocalCopy reports whether this store's log holds what is owed for the message: its end alone once it is completed, else all of it.
func (e *Entry) HasLocalCopy() bool {
	return e.Stored && !e.Unreadable || e.State == rpc.State_COMPLETED
}

// SetRecord notes the record of this store's log that holds the message with its body.
func (e *Entry) SetRecord(record applog.Position) {
	e.Stored, e.Unreadable, e.Record = true, false, record
}

// Copies counts the failure domains in which there is a copy: this store's own, and those that domains gives for the disks that
// count.
func (e *Entry) CountCopies(domains map[string]string, own string) int {
	count := 0
	if e.HasLocalCopy() {
		count++
	}
	for i, disk := range e.Holders {
		domain, counts := domains[disk]
		if !counts || e.HasLocalCopy() && domain == own || e.heldIn(domain, domains, i) {
			continue
		}
		count++
	}
	return count
}

// heldIn reports whether one of the first so many holders stands in the failure domain.
func (e *Entry) heldIn(domain string, domains map[string]string, first int) bool {
	for _, disk := range e.Holders[:first] {
		if other, counts := domains[disk]; counts && other == domain {
			return true
		}
	}
	return false
}

// NewEntry makes an entry of a message that was received now.
func NewEntry(m *rpc.Message, now time.Duration) *Entry {
	e := &Entry{
		Name: m.Name, Partition: m.Partition, Route: m.Route, Method: m.Method, Path: m.Path, Host: m.Host,
		RequestID: m.RequestId, OrderKey: m.OrderKey, ContentType: m.ContentType, Epoch: m.Epoch, Seq: m.Seq,
		Arrived:  now - time.Duration(m.AgeMs)*time.Millisecond,
		Due:      now + time.Duration(m.DelayLeftMs)*time.Millisecond,
		Attempts: m.Attempts, State: m.State, Stamp: m.Stamp, Body: m.Body, BodyBytes: len(m.Body),
	}
	if m.BodyBytes > 0 {
		e.BodyBytes = int(m.BodyBytes)
	}
	if e.Ended() {
		e.EndedAt = now - time.Duration(m.EndedMsAgo)*time.Millisecond
	}
	return e
}

// Message returns the entry in the form that travels, without its body.
func (e *Entry) Message(now time.Duration) *rpc.Message {
	m := &rpc.Message{
		Name: e.Name, Partition: e.Partition, Route: e.Route, Method: e.Method, Path: e.Path, Host: e.Host,
		RequestId: e.RequestID, OrderKey: e.OrderKey, ContentType: e.ContentType, Epoch: e.Epoch, Seq: e.Seq,
		AgeMs: (now - e.Arrived).Milliseconds(), DelayLeftMs: max(0, (e.Due - now).Milliseconds()),
		Attempts: e.Attempts, State: e.State, Stamp: e.Stamp, BodyBytes: uint64(e.BodyBytes),
	}
	if e.Ended() {
		m.EndedMsAgo = (now - e.EndedAt).Milliseconds()
	}
	return m
}

// End returns what is still owed for a message that is completed, in the form that travels: its state and the stamp of its run.
func (e *Entry) CompletionMessage(now time.Duration) *rpc.Message {
	return &rpc.Message{Name: e.Name, Partition: e.Partition, State: e.State, Stamp: e.Stamp, Epoch: e.Epoch, Seq: e.Seq,
		EndedMsAgo: (now - e.EndedAt).Milliseconds()}
}

// Fate returns what became of the message.
func (e *Entry) Fate() *rpc.Fate {
	return &rpc.Fate{Name: e.Name, Partition: e.Partition, State: e.State, Stamp: e.Stamp, Attempts: e.Attempts}
}
