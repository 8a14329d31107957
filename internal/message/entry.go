// Package message implements the state machine of the messages that a store keeps: which are queued, which may run now, and how
// each ended. It does no I/O and reads no clock: callers pass the time as the duration since the start of the process.
package message

import (
	"slices"
	"time"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/rpc"
)

// Entry is one message. It belongs to the table: callers read and change its fields only on the goroutine that owns the table.
type Entry struct {
	Name        string
	Partition   uint32
	Route       string // name of the route at the acceptance; the route in force is that of Host and Path
	Method      string
	Path        string
	Host        string
	RequestID   string
	OrderKey    string
	ContentType string
	Epoch       uint64        // partition epoch in which an owner assigned Seq
	Seq         uint64        // position within the partition and epoch; 0 if no owner has assigned one
	Arrived     time.Duration // when the message was received
	Due         time.Duration // earliest time at which it may run
	Promise     Promise       // what the configuration promised when the message was accepted
	Attempts    uint32        // failed attempts, that is, responses of 500
	State       rpc.State
	Stamp       string // response stamp of the successful run
	EndedAt     time.Duration
	BodyBytes   int             // size of the body
	Body        []byte          // cached body; nil if it must be read from the log
	Stored      bool            // this store's log holds the message with its body
	Unreadable  bool            // the log holds the message, but its record can't be read
	SilentReads uint8           // consecutive unanswered requests to read a holder's copy
	Record      applog.Position // position of the message in this store's log
	Holders     []string        // disks of other stores that hold a copy, as far as the owner knows
	Running     bool            // an attempt is in progress
	ReadUnder   uint64          // newest partition map version as of which enough copies were written, or had all been read and found intact
	ScrubAt     time.Duration   // when a holder next asks the owner about the message
	RepairAt    time.Duration   // when the owner next restores a missing copy
	PlacedUnder uint64          // partition map version under which a dispatcher began to place the copy here; 0 if unknown
	OwnerKnows  bool            // the owner has been informed of a copy that a dispatcher wrote while bypassing it
	Accepting   uint64          // partition map version under which the message is being accepted; 0 once it has been accepted
	EnoughAt    uint64          // partition map version as of which its end is known to be on enough disks; 0 for none
	Retries     int             // attempts in this process whose outcome is unknown

	scheduled bool   // in Table.delayed or in the queue of a route
	heapIndex int    // in Table.delayed; -1 if removed from a heap
	queue     string // route under whose name it is queued or running
}

// Promise is what the configuration said of a message when it was accepted. A later configuration may extend it, but not shorten it.
type Promise struct {
	ConfigVersion uint64        // configuration under which the message was accepted; 0 if its sender did not tell
	Retries       uint32        // failed attempts that end it; 0 if not known
	Retention     time.Duration // time from its arrival after which it ends; 0 if not known
	Ordered       bool          // messages of its order key run one after the other
}

// promiseOf returns the promise in an RPC message. Builds that tell no configuration keep an order key only where it orders.
func promiseOf(m *rpc.Message) Promise {
	return Promise{
		ConfigVersion: m.ConfigVersion,
		Retries:       m.Retries,
		Retention:     time.Duration(m.RetentionMs) * time.Millisecond,
		Ordered:       m.Ordered || m.ConfigVersion == 0 && m.OrderKey != "",
	}
}

// Ended reports whether the message has completed or is dead, so that it must not run again.
func (e *Entry) Ended() bool { return e.State != rpc.State_QUEUED }

// precedes reports whether e runs before other, which has the same order key.
func (e *Entry) precedes(other *Entry) bool {
	if e.Epoch != other.Epoch {
		return e.Epoch < other.Epoch
	}
	return e.Seq < other.Seq
}

// AddHolder records that the store with this disk holds a copy.
func (e *Entry) AddHolder(disk string) {
	for _, known := range e.Holders {
		if known == disk {
			return
		}
	}
	e.Holders = append(e.Holders, disk)
}

// RemoveHolder records that the store with this disk holds no valid copy. It reports whether the disk was a known holder.
func (e *Entry) RemoveHolder(disk string) bool {
	index := slices.Index(e.Holders, disk)
	if index < 0 {
		return false
	}
	e.Holders = slices.Delete(slices.Clone(e.Holders), index, index+1)
	return true
}

// HasLocalCopy reports whether this store's log holds what must be kept of the message: only its end if it has completed,
// otherwise all of it.
func (e *Entry) HasLocalCopy() bool {
	return e.Stored && !e.Unreadable || e.State == rpc.State_COMPLETED
}

// SetRecord records the position in this store's log of the message with its body.
func (e *Entry) SetRecord(record applog.Position) {
	e.Stored, e.Unreadable, e.Record = true, false, record
}

// CountCopies returns the number of distinct failure domains that hold a copy. domains maps the disks whose copies count to their
// failure domains; own is the failure domain of this store.
func (e *Entry) CountCopies(domains map[string]string, own string) int {
	count := 0
	if e.HasLocalCopy() {
		count++
	}
	for i, disk := range e.Holders {
		domain, counts := domains[disk]
		if !counts || e.HasLocalCopy() && domain == own || e.hasHolderIn(domain, domains, i) {
			continue
		}
		count++
	}
	return count
}

// hasHolderIn reports whether one of the first firstN holders is in the failure domain.
func (e *Entry) hasHolderIn(domain string, domains map[string]string, firstN int) bool {
	for _, disk := range e.Holders[:firstN] {
		if other, counts := domains[disk]; counts && other == domain {
			return true
		}
	}
	return false
}

// NewEntry returns an entry for a message received at time now. Relative times in m are converted to this process's clock.
func NewEntry(m *rpc.Message, now time.Duration) *Entry {
	e := &Entry{
		Name: m.Name, Partition: m.Partition, Route: m.Route, Method: m.Method, Path: m.Path, Host: m.Host,
		RequestID: m.RequestId, OrderKey: m.OrderKey, ContentType: m.ContentType, Epoch: m.Epoch, Seq: m.Seq,
		Arrived:  now - time.Duration(m.AgeMs)*time.Millisecond,
		Due:      now + time.Duration(m.DelayLeftMs)*time.Millisecond,
		Attempts: m.Attempts, State: m.State, Stamp: m.Stamp, Body: m.Body, BodyBytes: len(m.Body), Promise: promiseOf(m),
	}
	if m.BodyBytes > 0 {
		e.BodyBytes = int(m.BodyBytes)
	}
	if e.Ended() {
		e.EndedAt = now - time.Duration(m.EndedMsAgo)*time.Millisecond
	}
	return e
}

// Message returns the entry as an RPC message without the body. Times are given relative to now.
func (e *Entry) Message(now time.Duration) *rpc.Message {
	m := &rpc.Message{
		Name: e.Name, Partition: e.Partition, Route: e.Route, Method: e.Method, Path: e.Path, Host: e.Host,
		RequestId: e.RequestID, OrderKey: e.OrderKey, ContentType: e.ContentType, Epoch: e.Epoch, Seq: e.Seq,
		AgeMs: (now - e.Arrived).Milliseconds(), DelayLeftMs: max(0, (e.Due - now).Milliseconds()),
		Attempts: e.Attempts, State: e.State, Stamp: e.Stamp, BodyBytes: uint64(e.BodyBytes),
		ConfigVersion: e.Promise.ConfigVersion, Retries: e.Promise.Retries, RetentionMs: e.Promise.Retention.Milliseconds(), Ordered: e.Promise.Ordered,
	}
	if e.Ended() {
		m.EndedMsAgo = (now - e.EndedAt).Milliseconds()
	}
	return m
}

// CompletionMessage returns, for a completed message, the part that must be kept: its state and the response stamp.
func (e *Entry) CompletionMessage(now time.Duration) *rpc.Message {
	return &rpc.Message{Name: e.Name, Partition: e.Partition, State: e.State, Stamp: e.Stamp, Epoch: e.Epoch, Seq: e.Seq,
		EndedMsAgo: (now - e.EndedAt).Milliseconds()}
}

// Fate returns the state, response stamp and number of failed attempts as an RPC message.
func (e *Entry) Fate() *rpc.Fate {
	return &rpc.Fate{Name: e.Name, Partition: e.Partition, State: e.State, Stamp: e.Stamp, Attempts: e.Attempts}
}
