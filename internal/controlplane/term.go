package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Timing of leases and of store admission.
const (
	leaseMargin = 250 * time.Millisecond // added to the duration of a lease before it counts as over; bounds the drift of clocks
	// diskReplacementDelay is how long a disk must not have renewed before another disk of the same machine
	// replaces it: a delayed renewal from a process that has ended must not be taken for a newer disk.
	diskReplacementDelay = 900 * time.Millisecond
	// replacedDiskReturnDelay is the same for a disk that was replaced before: its successor may only be restarting.
	replacedDiskReturnDelay = 10 * time.Second
	// The first assignment waits for firstAssignmentDelay after the first renewal of a store, and for at most
	// maxFirstAssignmentDelay if known stores hold no lease.
	firstAssignmentDelay    = 1500 * time.Millisecond
	maxFirstAssignmentDelay = 3 * time.Second
	// impairedHoldTime is how long a store counts as impaired after its last report of it, so that a disk with
	// intermittent faults does not move partitions back and forth.
	impairedHoldTime = 3 * time.Second
)

// storeStatus holds what the latest renewals of a store reported. It is guarded by the mutex of its term.
type storeStatus struct {
	node        string
	incarnation string
	disk        string
	address     string
	zone        string

	renewedAt       time.Time
	admittedAt      time.Time // when its incarnation was recorded in this term, so that no earlier map contains it; else zero
	granted         bool      // a lease was granted to it in this term
	leaving         bool
	impairedUntil   time.Time // end of the time in which it counts as impaired
	mapVersion      uint64
	configVersion   uint64
	listVersion     uint64
	readyCount      int       // owned partitions whose takeover is complete
	backlog         uint64    // messages that have not ended
	underCopied     uint64    // messages with too few copies
	replicatedSince time.Time // since when only unconfirmed copies have been missing; zero if others are missing
	// unconfirmed is whether it holds copies that their owners may not know of; unconfirmedUnder is the lowest map version
	// under which a dispatcher began to place one of them.
	unconfirmed      bool
	unconfirmedUnder uint64
}

// dispatcherStatus holds what the latest renewal of a dispatcher reported.
type dispatcherStatus struct {
	incarnation   string
	zone          string
	renewedAt     time.Time
	mapVersion    uint64
	configVersion uint64
	listVersion   uint64
}

// release is an owner's request to release partitions.
type release struct {
	node        string
	incarnation string
	epochs      map[uint32]uint64 // by partition
	done        chan struct{}     // closed once the planner has processed the release and committed the resulting map
}

// term holds what a leader knows beyond the replicated state. It begins with the leader's lease and is dropped
// when that lease ends.
type term struct {
	epoch   uint64
	started time.Time
	context context.Context // canceled at the end of the term
	cancel  context.CancelFunc

	mutex          sync.Mutex
	stores         map[string]*storeStatus      // by machine
	dispatchers    map[string]*dispatcherStatus // by machine
	leases         *storeLeases
	fences         map[string]uint64     // by machine: lowest map version that it must know to be granted a lease
	firstStore     time.Time             // when the first store renewed; zero before
	restoringSince map[string]startPoint // by disk that is not whole: when it was first seen
	drainedSince   map[string]startPoint // by retiring machine: since when it has owned no partition
	leaselessSince map[string]startPoint // by machine: since when its store has held no lease, and the map in which it was first marked as leaving
	releases       []*release
	listVersion    uint64 // version of the published list of workers
}

// newTerm begins the term of a leader that grants leases of at most storeLease to stores.
func newTerm(epoch uint64, state *rpc.ControlState, storeLease time.Duration, now time.Time) *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{
		epoch:          epoch,
		started:        now,
		context:        ctx,
		cancel:         cancel,
		stores:         make(map[string]*storeStatus),
		dispatchers:    make(map[string]*dispatcherStatus),
		leases:         newStoreLeases(state, storeLease, now),
		fences:         make(map[string]uint64),
		restoringSince: make(map[string]startPoint),
		drainedSince:   make(map[string]startPoint),
		leaselessSince: make(map[string]startPoint),
	}
}

// renewal is the outcome of a renewal.
type renewal struct {
	granted       bool
	duration      time.Duration // of the lease, if granted
	notifyPlanner bool          // the renewal reported something that the planner must act on
}

// renewStore handles the renewal of a store. It grants a lease only to the recorded incarnation, and only if the
// store can't act on an outdated map.
func (t *term) renewStore(state *rpc.ControlState, request *rpc.RenewRequest, now time.Time) renewal {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	status, changed := t.updateStore(state, request, now)
	if status == nil {
		return renewal{}
	}
	if admission := admissionOf(state, status); admission != admissionKnown {
		return renewal{notifyPlanner: admission == admissionNew}
	}
	if !t.mayGrant(state, status, now) {
		return renewal{notifyPlanner: changed}
	}
	t.leases.applyRecordedLimit(state)
	if !t.leases.grant(status.node, status.incarnation, now) {
		return renewal{}
	}
	status.granted = true
	return renewal{granted: true, duration: t.leases.duration(), notifyPlanner: changed}
}

// updateStore records what a store reports, and whether the planner must act on it. It returns nil if the incarnation
// can't be the newest one. Callers hold the lock.
func (t *term) updateStore(state *rpc.ControlState, request *rpc.RenewRequest, now time.Time) (*storeStatus, bool) {
	status := t.stores[request.Node]
	isNew := status == nil || status.incarnation != request.Incarnation
	if isNew {
		if !t.mayBeNewest(state, request, now) {
			return nil, false
		}
		status = &storeStatus{node: request.Node, incarnation: request.Incarnation}
		t.stores[request.Node] = status
	}
	if t.firstStore.IsZero() {
		t.firstStore = now
	}
	return status, status.update(request, now) || isNew
}

// mayBeNewest reports whether an incarnation may replace those known of its machine. Incarnations of one disk are
// ordered. Those of different disks are not, so the known one must have been silent for requiredSilence.
func (t *term) mayBeNewest(state *rpc.ControlState, request *rpc.RenewRequest, now time.Time) bool {
	member := findStore(state.Stores, request.Node)
	silence := requiredSilence(member, request.Disk)
	if status := t.stores[request.Node]; status != nil {
		if status.disk == request.Disk {
			return request.Incarnation > status.incarnation
		}
		if now.Sub(status.renewedAt) < silence {
			return false
		}
	}
	if member == nil || member.Incarnation == request.Incarnation {
		return true
	}
	if member.Disk == request.Disk {
		return request.Incarnation > member.Incarnation
	}
	return now.Sub(t.started) >= silence
}

// requiredSilence returns how long the current disk of a machine must have been silent before the given one replaces it.
func requiredSilence(member *rpc.StoreMember, disk string) time.Duration {
	if member != nil && slices.Contains(member.ReplacedDisks, disk) {
		return replacedDiskReturnDelay
	}
	return diskReplacementDelay
}

// update records a renewal and reports whether it contains a change that the planner must act on.
func (s *storeStatus) update(request *rpc.RenewRequest, now time.Time) bool {
	changed := s.leaving != request.Leaving || request.Impaired && !s.impaired(now)
	s.disk = request.Disk
	s.address = request.Address
	s.zone = request.Zone
	s.renewedAt = now
	s.leaving = request.Leaving
	if request.Impaired {
		s.impairedUntil = now.Add(impairedHoldTime)
	}
	s.mapVersion = request.MapVersion
	s.configVersion = request.ConfigVersion
	s.listVersion = request.ListVersion
	s.backlog = request.Backlog
	s.underCopied = request.UnderCopied
	s.readyCount = int(request.ReadyPartitions)
	s.unconfirmed = request.Unconfirmed > 0
	s.unconfirmedUnder = request.UnconfirmedUnder
	if request.UnderCopied > request.Unconfirmed {
		s.replicatedSince = time.Time{}
	} else if s.replicatedSince.IsZero() {
		s.replicatedSince = now
	}
	return changed
}

// impaired reports whether the store has reported within impairedHoldTime that its disk was full or did not respond.
func (s *storeStatus) impaired(now time.Time) bool { return now.Before(s.impairedUntil) }

// mayGrant reports whether a lease can't make the store act for a partition that was assigned to another. A store
// whose lease never lapsed knows what it owns, and one that was recorded in this term is in no earlier map. Any
// other store must know the latest map.
func (t *term) mayGrant(state *rpc.ControlState, status *storeStatus, now time.Time) bool {
	if status.mapVersion < t.fences[status.node] {
		return false
	}
	if status.granted && !t.leases.ended(status.node, status.incarnation, now) {
		return true
	}
	return status.awaitsFirstLease() || status.mapVersion >= state.MapVersion
}

// awaitsFirstLease reports whether the store was recorded in this term and has held no lease yet.
func (s *storeStatus) awaitsFirstLease() bool {
	return !s.admittedAt.IsZero() && !s.granted
}

// isAlive reports whether a recorded incarnation may be assigned partitions: it holds a lease, or it was recorded
// less than the duration of a lease ago and awaits its first one.
func (t *term) isAlive(member *rpc.StoreMember, now time.Time) bool {
	if t.leases.alive(member.Node, member.Incarnation, now) {
		return true
	}
	status := t.stores[member.Node]
	if status == nil || status.incarnation != member.Incarnation {
		return false
	}
	return status.awaitsFirstLease() && now.Sub(status.admittedAt) < t.leases.duration()
}

// renewDispatcher handles the renewal of a dispatcher. Its lease is only shown in the status.
func (t *term) renewDispatcher(request *rpc.RenewRequest, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	status := t.dispatchers[request.Node]
	if status == nil {
		status = &dispatcherStatus{}
		t.dispatchers[request.Node] = status
	}
	*status = dispatcherStatus{
		incarnation:   request.Incarnation,
		zone:          request.Zone,
		renewedAt:     now,
		mapVersion:    request.MapVersion,
		configVersion: request.ConfigVersion,
		listVersion:   request.ListVersion,
	}
}

// addRelease queues a release for the planner and returns it.
func (t *term) addRelease(request *rpc.ReleaseRequest) *release {
	epochs := make(map[uint32]uint64, len(request.Partitions))
	for _, partition := range request.Partitions {
		epochs[partition.Partition] = partition.Epoch
	}
	queued := &release{
		node:        request.Node,
		incarnation: request.Incarnation,
		epochs:      epochs,
		done:        make(chan struct{}),
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.releases = append(t.releases, queued)
	return queued
}
