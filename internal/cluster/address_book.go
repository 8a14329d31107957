package cluster

import (
	"slices"
	"sync"
	"time"
)

const (
	redirectFailureLimit  = 2                      // consecutive failures after which redirects to an address are ignored
	redirectFailureWindow = 500 * time.Millisecond // how long they are ignored after the last failure
)

// addressBook holds all known control addresses and the current candidate for the leader. It is safe for concurrent
// use.
type addressBook struct {
	mutex         sync.Mutex
	addresses     []string
	current       int
	failures      map[string]failure
	leader        leadership
	leaderChanged chan struct{} // closed and replaced when leader changes
}

// leadership is the address and epoch of a leader.
type leadership struct {
	address string // empty before the first leader
	epoch   uint64
}

// failure counts the consecutive failures of an address.
type failure struct {
	count int
	last  time.Time
}

func newAddressBook(seeds []string) *addressBook {
	book := &addressBook{failures: map[string]failure{}, leaderChanged: make(chan struct{})}
	book.add(seeds)
	return book
}

// add adds new addresses. Known ones are never removed, as seeds may be unreachable or replaced later.
func (b *addressBook) add(addresses []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, address := range addresses {
		b.index(address)
	}
}

// index returns the position of an address, which it adds if needed. Callers hold the mutex.
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

// candidate returns the address to call next, or "" if none is known.
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

// recordFailure records that an address did not respond, and advances to the next one.
func (b *addressBook) recordFailure(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	failed := b.failures[address]
	b.failures[address] = failure{count: failed.count + 1, last: time.Now()}
	b.advance(address)
}

// advance makes the next address the candidate if the given one currently is. Callers hold the mutex.
func (b *addressBook) advance(address string) {
	if b.candidateLocked() == address && len(b.addresses) > 0 {
		b.current = (b.current + 1) % len(b.addresses)
	}
}

// followRedirect handles the redirect of a process that is not the leader. A redirect to an address that has just
// failed repeatedly is ignored, as the redirecting process may not have noticed the failure yet. It reports whether
// the redirect was followed.
func (b *addressBook) followRedirect(from, to string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.failures, from)
	if to == "" || to == from || b.failedRecently(to) {
		b.advance(from)
		return false
	}
	b.current = b.index(to)
	return true
}

func (b *addressBook) failedRecently(address string) bool {
	failed := b.failures[address]
	return failed.count >= redirectFailureLimit && time.Since(failed.last) < redirectFailureWindow
}

// recordLeader records that an address responded as the leader of an epoch.
func (b *addressBook) recordLeader(address string, epoch uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.failures, address)
	b.current = b.index(address)
	answered := leadership{address: address, epoch: epoch}
	if b.leader != answered {
		b.leader = answered
		close(b.leaderChanged)
		b.leaderChanged = make(chan struct{})
	}
}

// watchLeader returns the latest known leader, and a channel that is closed when its address or epoch changes.
func (b *addressBook) watchLeader() (leadership, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leader, b.leaderChanged
}

// all returns all known addresses.
func (b *addressBook) all() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.addresses)
}

// count returns the number of known addresses.
func (b *addressBook) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.addresses)
}
