package message

import (
	"sort"
	"time"
)

// Ordering of messages with the same order key: they run one at a time, by epoch and sequence number.

// addToKeyQueue inserts the entry at its position among the queued messages with its order key.
func (p *partition) addToKeyQueue(e *Entry) {
	queue := p.keyQueues[e.OrderKey]
	at := sort.Search(len(queue), func(i int) bool { return e.precedes(queue[i]) })
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = e
	p.keyQueues[e.OrderKey] = queue
}

func (p *partition) removeFromKeyQueue(e *Entry) {
	if e.OrderKey == "" {
		return
	}
	queue := p.keyQueues[e.OrderKey]
	for i, other := range queue {
		if other == e {
			queue = append(queue[:i], queue[i+1:]...)
			break
		}
	}
	if len(queue) == 0 {
		delete(p.keyQueues, e.OrderKey)
		return
	}
	p.keyQueues[e.OrderKey] = queue
}

// mayRunInKey reports whether the order key of e lets it run now: e has none, needs no order, or is the next of its key.
func (t *Table) mayRunInKey(p *partition, e *Entry) bool {
	return e.OrderKey == "" || !t.isOrdered(e) || p.isFirstOfKey(e)
}

// isOrdered reports whether a message with an order key waits for the earlier ones: its route has order, or had it at the acceptance.
func (t *Table) isOrdered(e *Entry) bool {
	if e.Promise.Ordered {
		return true
	}
	_, ordered := t.routing(e)
	return ordered
}

// isFirstOfKey reports whether e is the next message of its order key, and no other message of the key is running.
func (p *partition) isFirstOfKey(e *Entry) bool {
	queue := p.keyQueues[e.OrderKey]
	if len(queue) == 0 || queue[0] != e || len(p.strays[e.OrderKey]) > 0 {
		return false
	}
	for _, other := range queue[1:] {
		if other.Running {
			return false
		}
	}
	return true
}

// scheduleNextOfKey schedules the next message with the order key of e, once e has ended and no attempt of it is in progress.
func (t *Table) scheduleNextOfKey(e *Entry, now time.Duration) {
	if e.OrderKey == "" || e.Running {
		return
	}
	p := t.partition(e.Partition)
	p.removeFromKeyQueue(e)
	if queue := p.keyQueues[e.OrderKey]; len(queue) > 0 {
		t.schedule(p, queue[0], now)
	}
}
