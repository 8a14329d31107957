package message

import (
	"time"
)

// Ownership of partitions, and the epochs that fence off writes by former owners.

// partition is the state of one partition on this store.
type partition struct {
	fence     uint64              // writes with an older epoch are rejected
	epoch     uint64              // epoch in which this store owns the partition; 0 if it does not
	ready     bool                // the messages that other stores hold have been gathered
	paused    bool                // about to be released: no attempts are started
	running   int                 // attempts in progress
	lastSeq   uint64              // last sequence number assigned in this epoch
	messages  map[string]*Entry   // known messages, by name
	keyQueues map[string][]*Entry // queued messages by order key, in order of execution

	strays map[string]map[Stray]time.Duration // by order key: messages of other partitions that it waits for, and until when
}

// partition returns the state of a partition, and creates it on first use.
func (t *Table) partition(id uint32) *partition {
	p := t.partitions[id]
	if p == nil {
		p = &partition{messages: map[string]*Entry{}, keyQueues: map[string][]*Entry{}}
		t.partitions[id] = p
	}
	return p
}

// Fence returns the epoch below which writes to the partition are rejected.
func (t *Table) Fence(id uint32) uint64 { return t.partition(id).fence }

// Fences returns the fences of all partitions that have one.
func (t *Table) Fences() map[uint32]uint64 {
	fences := map[uint32]uint64{}
	for id, p := range t.partitions {
		if p.fence > 0 {
			fences[id] = p.fence
		}
	}
	return fences
}

// RaiseFence rejects writes with an epoch below the given one from now on. It reports whether the fence was raised.
func (t *Table) RaiseFence(id uint32, epoch uint64) bool {
	p := t.partition(id)
	if epoch <= p.fence {
		return false
	}
	p.fence = epoch
	return true
}

// BeginOwnership makes this store the owner of a partition. No message of it runs before MarkReady. It panics if the epoch is
// fenced off.
func (t *Table) BeginOwnership(id uint32, epoch uint64) {
	p := t.partition(id)
	if epoch < p.fence {
		panic("message: ownership begun in an epoch that is fenced off")
	}
	p.fence = epoch
	p.epoch, p.ready, p.paused, p.lastSeq = epoch, false, false, 0
	for _, e := range p.messages {
		t.RequireConfig(e.Promise.ConfigVersion)
	}
}

// EndOwnership ends the ownership of a partition. Attempts in progress continue, and their outcomes are still accepted.
func (t *Table) EndOwnership(id uint32) {
	p := t.partition(id)
	p.epoch, p.ready, p.paused, p.strays = 0, false, false, nil
	for _, e := range p.messages {
		t.unschedule(e)
		e.Body = nil
	}
}

// OwnedEpoch returns the epoch in which this store owns the partition, or 0 if it does not.
func (t *Table) OwnedEpoch(id uint32) uint64 { return t.partition(id).epoch }

// IsReady reports whether this store owns the partition and has gathered the messages that other stores hold.
func (t *Table) IsReady(id uint32) bool {
	p := t.partition(id)
	return p.epoch > 0 && p.ready
}

// MarkReady allows the messages of an owned partition to run.
func (t *Table) MarkReady(id uint32, now time.Duration) {
	p := t.partition(id)
	p.ready = true
	for _, e := range p.messages {
		t.schedule(p, e, now)
	}
}

// Pause prevents further attempts in the partition until Resume. RunningCount returns 0 when the last one has ended.
func (t *Table) Pause(id uint32) {
	p := t.partition(id)
	if p.paused {
		return
	}
	p.paused = true
	for _, e := range p.messages {
		t.unschedule(e)
	}
}

// Resume undoes Pause.
func (t *Table) Resume(id uint32, now time.Duration) {
	p := t.partition(id)
	if !p.paused {
		return
	}
	p.paused = false
	for _, e := range p.messages {
		t.schedule(p, e, now)
	}
}

// RunningCount returns the number of attempts in progress in the partition.
func (t *Table) RunningCount(id uint32) int { return t.partition(id).running }

// Partition calls visit for every message of the partition.
func (t *Table) Partition(id uint32, visit func(*Entry)) {
	for _, e := range t.partition(id).messages {
		visit(e)
	}
}
