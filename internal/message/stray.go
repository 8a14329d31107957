package message

import "time"

// Stray messages: earlier builds placed messages with an order key by their service where that has a rate. Such a
// message stays in its partition. The owner of its key's partition knows of it, and lets the key wait until it has ended.

// Stray is a queued message whose order key belongs to another partition than its own.
type Stray struct {
	Name      string
	Partition uint32 // its own partition
	OrderKey  string
}

// Strays calls visit for every queued message whose order key belongs to another partition, which it passes too. count is the number of
// partitions.
func (t *Table) Strays(count uint32, visit func(home uint32, stray Stray)) {
	for id, p := range t.partitions {
		for key, queue := range p.keyQueues {
			home := PartitionForKey(key, count)
			if home == id {
				continue
			}
			for _, e := range queue {
				visit(home, Stray{Name: e.Name, Partition: id, OrderKey: key})
			}
		}
	}
}

// AwaitStray makes the messages of an order key in an owned partition wait for a stray one, until StrayEnded or the given time.
func (t *Table) AwaitStray(home uint32, stray Stray, until time.Duration) {
	p := t.partition(home)
	if p.strays[stray.OrderKey] == nil {
		if p.strays == nil {
			p.strays = map[string]map[Stray]time.Duration{}
		}
		p.strays[stray.OrderKey] = map[Stray]time.Duration{}
	}
	p.strays[stray.OrderKey][stray] = until
}

// StrayEnded ends the wait for a stray message.
func (t *Table) StrayEnded(home uint32, stray Stray, now time.Duration) {
	p := t.partition(home)
	delete(p.strays[stray.OrderKey], stray)
	if len(p.strays[stray.OrderKey]) > 0 {
		return
	}
	delete(p.strays, stray.OrderKey)
	if queue := p.keyQueues[stray.OrderKey]; len(queue) > 0 {
		t.schedule(p, queue[0], now)
	}
}

// AwaitedStrays calls visit for every stray message that an owned partition waits for.
func (t *Table) AwaitedStrays(visit func(home uint32, stray Stray, until time.Duration)) {
	for id, p := range t.partitions {
		for _, strays := range p.strays {
			for stray, until := range strays {
				visit(id, stray, until)
			}
		}
	}
}
