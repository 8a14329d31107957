package message

import (
	"time"
)

// Ownership of partitions, and the fences below which writes are refused.

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

func (t *Table) partition(id uint32) *partition {
	p := t.partitions[id]
	if p == nil {
		p = &partition{members: map[string]*Entry{}, keys: map[string][]*Entry{}}
		t.partitions[id] = p
	}
	return p
}

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
func (t *Table) BeginOwnership(id uint32, epoch uint64) {
	p := t.partition(id)
	if epoch < p.fence {
		panic("message: a partition is owned under an epoch that is fenced off")
	}
	p.fence = epoch
	p.epoch, p.ready, p.paused, p.nextSeq = epoch, false, false, 0
}

// Disown ends the ownership of a partition. Attempts under way go on; their outcomes are still taken.
func (t *Table) EndOwnership(id uint32) {
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
func (t *Table) MarkReady(id uint32, now time.Duration) {
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
func (t *Table) RunningCount(id uint32) int { return t.partition(id).running }

// Partition calls visit with every message of the partition.
func (t *Table) Partition(id uint32, visit func(*Entry)) {
	for _, e := range t.partition(id).members {
		visit(e)
	}
}
