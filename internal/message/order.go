package message

import (
	"sort"
	"time"
)

// The order of messages with one key.

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
