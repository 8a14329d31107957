package cluster

import (
	"slices"
	"sync"
	"time"
)

const (
	distrustAfter = 2                      // failures in a row after which hints to an address are not followed
	distrustFor   = 500 * time.Millisecond // since its last failure
)

// addressBook remembers all control addresses heard of, and which of them is asked now. It is safe for
// concurrent use.
type addressBook struct {
	mutex     sync.Mutex
	addresses []string
	current   int
	failures  map[string]failure
	leader    leadership
	moved     chan struct{} // closed when leader changes
}

// leadership is who last answered as leader.
type leadership struct {
	address string // empty before the first
	epoch   uint64
}

// failure counts the failures in a row of an address.
type failure struct {
	count int
	last  time.Time
}

func newAddressBook(seeds []string) *addressBook {
	book := &addressBook{failures: map[string]failure{}, moved: make(chan struct{})}
	book.learn(seeds)
	return book
}

// learn adds addresses that are new. Those known are kept: seeds may be cut off or be replaced later.
func (b *addressBook) learn(addresses []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, address := range addresses {
		b.index(address)
	}
}

// index returns the position of an address, which it adds where it is new. The mutex is held.
func (b *addressBook) index(address string) int {
	for i, known := range b.addresses {
		if known == address {
			return i
		}
	}
	if address != "" {
		b.addresses = append(b.addresses, address)
	}
	return len(b.addresses) - 1
}

// candidate returns the address to ask now, or "" where none is known.
func (b *addressBook) candidate() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.candidateLocked()
}

func (b *addressBook) candidateLocked() string {
	if len(b.addresses) == 0 {
		return ""
	}
	return b.addresses[b.current]
}

// fail notes that an address did not answer, and moves on from it.
func (b *addressBook) fail(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	failed := b.failures[address]
	b.failures[address] = failure{count: failed.count + 1, last: time.Now()}
	b.moveOn(address)
}

// moveOn makes the next address the candidate, if address still is. The mutex is held.
func (b *addressBook) moveOn(address string) {
	if b.candidateLocked() == address && len(b.addresses) > 0 {
		b.current = (b.current + 1) % len(b.addresses)
	}
}

// redirect follows the hint of a process that does not lead. A hint to an address that failed repeatedly just
// now is not followed: its giver may not have noticed yet. It reports whether there is a hint to follow.
func (b *addressBook) redirect(from, to string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.failures, from)
	if to == "" || to == from || b.distrusted(to) {
		b.moveOn(from)
		return false
	}
	b.current = b.index(to)
	return true
}

func (b *addressBook) distrusted(address string) bool {
	failed := b.failures[address]
	return failed.count >= distrustAfter && time.Since(failed.last) < distrustFor
}

// confirm notes that an address answered as leader under an epoch.
func (b *addressBook) confirm(address string, epoch uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.failures, address)
	b.current = b.index(address)
	answered := leadership{address: address, epoch: epoch}
	if b.leader != answered {
		b.leader = answered
		close(b.moved)
		b.moved = make(chan struct{})
	}
}

// leaderMoved returns who last answered as leader, and a channel that is closed when another address or epoch does.
func (b *addressBook) leaderMoved() (leadership, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leader, b.moved
}

// known returns the addresses known.
func (b *addressBook) known() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.addresses)
}

// count is the number of addresses known.
func (b *addressBook) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.addresses)
}
