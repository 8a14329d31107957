package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Timing of leases and members.
const (
	leaseMargin = 250 * time.Millisecond // by which the leader waits longer for the end of a lease; bounds the drift of clocks
	// diskReplacementDelay is how long a disk must have been silent before another of the same machine takes its
	// place: a renewal of an ended process that was held up on its way tells of no newer disk.
	diskReplacementDelay = 900 * time.Millisecond
	// replacedDiskReturnDelay is the same for a disk that was replaced before: the one in its place may be starting anew.
	replacedDiskReturnDelay = 10 * time.Second
	firstAssignmentDelay    = 1500 * time.Millisecond // from the first store to the first assignment
	maxFirstAssignmentDelay = 3 * time.Second         // the first assignment waits for more stores until then
	// impairedHoldTime is how long a store counts as impaired after it last said so: a disk that comes and goes is not to move
	// partitions to and fro.
	impairedHoldTime = 3 * time.Second
)

// storeStatus is what the newest renewals of a store have told. It belongs to its term.
type storeStatus struct {
	node        string
	incarnation string
	disk        string
	address     string
	zone        string

	renewedAt       time.Time
	admittedAt      time.Time // when its incarnation was recorded in this term, so that no older table names it
	granted         bool      // it was granted a lease in this term
	leaving         bool
	impairedUntil   time.Time // its disk kept it from accepting lately
	mapVersion      uint64
	configVersion   uint64
	listVersion     uint64
	readyCount      int // partitions that it has taken over
	backlog         uint64
	underCopied     uint64
	replicatedSince time.Time // since when it has reported no message of its partitions with too few copies; zero if it has some
	// unconfirmed is whether it holds copies that their owners may not know; unconfirmedUnder is the lowest table under which a dispatcher
	// began to place one of them.
	unconfirmed      bool
	unconfirmedUnder uint64
}

// dispatcherStatus is what the newest renewal of a dispatcher has told.
type dispatcherStatus struct {
	incarnation   string
	zone          string
	renewedAt     time.Time
	mapVersion    uint64
	configVersion uint64
	listVersion   uint64
}

// release is the giving up of partitions by their owner.
type release struct {
	node        string
	incarnation string
	epochs      map[uint32]uint64 // by partition
	done        chan struct{}     // closed once the planner has taken it up
}

// term is what a leader knows besides the replicated state. It begins with the leader's lease and is dropped
// when the lease ends.
type term struct {
	epoch   uint64
	started time.Time
	context context.Context // ends with the term
	cancel  context.CancelFunc

	mutex          sync.Mutex
	stores         map[string]*storeStatus      // by machine
	dispatchers    map[string]*dispatcherStatus // by machine
	leases         *storeLeases
	fences         map[string]uint64     // by machine: the map version it must know to be granted a lease
	firstStore     time.Time             // when the first store renewed
	restoringSince map[string]startPoint // by disk: since when a disk that is not whole has been known
	drainedSince   map[string]startPoint // by machine that retires: since when it has owned nothing
	leaselessSince map[string]startPoint // by machine: since when its store has held no lease, and the table by which it was first leaving
	releases       []*release
	listVersion    uint64 // of the list of workers
}

// newTerm begins the term of a leader that grants leases to stores of no more than a length.
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
	granted     bool
	duration    time.Duration // of the lease, where it is granted
	wakePlanner bool          // the planner has something to do
}

// renewStore takes the renewal of a store. A lease is granted to the recorded incarnation alone, and only
// while the store can't act on a table that is out of date.
func (t *term) renewStore(state *rpc.ControlState, request *rpc.RenewRequest, now time.Time) renewal {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	status, changed := t.updateStore(state, request, now)
	if status == nil {
		return renewal{}
	}
	if admission := admissionOf(state, status); admission != admissionKnown {
		return renewal{wakePlanner: admission == admissionNew}
	}
	if !t.mayGrant(state, status, now) {
		return renewal{wakePlanner: changed}
	}
	t.leases.applyRecordedLimit(state)
	if !t.leases.grant(status.node, status.incarnation, now) {
		return renewal{}
	}
	status.granted = true
	return renewal{granted: true, duration: t.leases.duration(), wakePlanner: changed}
}

// updateStore records what a store tells. It returns nil for an incarnation that can't be the newest.
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

// mayBeNewest reports whether an incarnation may take the place of those known of its machine. Incarnations of
// one disk are in order. Those of different disks are not: the older one must have been silent for a while.
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

// requiredSilence returns how long the present disk of a machine must have been silent before this one takes its place.
func requiredSilence(member *rpc.StoreMember, disk string) time.Duration {
	if member != nil && slices.Contains(member.ReplacedDisks, disk) {
		return replacedDiskReturnDelay
	}
	return diskReplacementDelay
}

// note records a renewal and reports whether it tells anything that the planner acts on.
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

// impaired reports whether the disk of the store kept it from accepting lately.
func (s *storeStatus) impaired(now time.Time) bool { return now.Before(s.impairedUntil) }

// mayGrant reports whether a lease can't make the store act for a partition that was given to another. A
// store whose lease went on all the time knows what it owns, and one that was recorded in this term is named by
// no older table. Any other must know the newest table.
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

// isAlive reports whether a recorded incarnation may be given partitions: it holds a lease, or it was recorded
// just now and is about to.
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

// renewDispatcher takes the renewal of a dispatcher. Nothing depends on its lease but what is shown.
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

// addRelease queues a release for the planner.
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
