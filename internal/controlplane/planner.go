package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/placement"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	minPlanInterval        = 50 * time.Millisecond  // minimum time between two plans
	maxPlanInterval        = 250 * time.Millisecond // maximum time between two plans
	maxConcurrentHandovers = 32                     // partitions that are being handed over at the same time
)

// errTableChanged reports that the committed table changed after a plan was made on it.
var errTableChanged = errors.New("the partition map changed after this plan was made: plan again")

// wakePlanner triggers a plan.
func (s *Server) wakePlanner() {
	select {
	case s.plannerWake <- struct{}{}:
	default:
	}
}

// runPlanner adapts the map to the state of the stores until the term ends. The end of a lease triggers no event, so the planner also runs
// when the next lease ends.
func (s *Server) runPlanner(t *term) {
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	for sleep(t.context, minPlanInterval) {
		s.planOnce(t)
		timer.Reset(t.nextPlanDelay(time.Now()))
		select {
		case <-timer.C:
		case <-s.plannerWake:
		case <-t.context.Done():
		}
	}
}

// nextPlanDelay returns the time until the next plan is due if no event triggers one earlier.
func (t *term) nextPlanDelay(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.leases.nextChange(now, maxPlanInterval)
}

// planOnce makes a plan and commits it if it changes the map. If the commit fails, the releases are queued again and
// the next run makes a new plan.
func (s *Server) planOnce(t *term) {
	if !s.state.leading() {
		return
	}
	state := s.state.committed()
	next, released, err := t.plan(state, s.requiredCopies(), time.Now())
	if err != nil {
		s.log.Error(err, "planning failed; the partition map stays unchanged")
		return
	}
	if !next.equals(state) {
		if err := s.commitTable(t, state.MapVersion, next); err != nil {
			s.log.V(1).Info("the new partition map was not committed", "error", err.Error())
			t.requeue(released)
			return
		}
	}
	for _, done := range released {
		close(done.done)
	}
}

func (s *Server) commitTable(t *term, base uint64, next *table) error {
	ctx, cancel := context.WithTimeout(t.context, proposeTimeout)
	defer cancel()
	return s.state.change(ctx, func(state *rpc.ControlState) error {
		if state.MapVersion != base {
			return errTableChanged
		}
		next.writeTo(state)
		return nil
	})
}

// plan computes the next map from the state of the stores. It also returns the queued releases, all of which it has processed.
func (t *term) plan(state *rpc.ControlState, copies int, now time.Time) (*table, []*release, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := copyTable(state)
	released := t.releases
	t.releases = nil
	t.admitStores(state, next, now)
	t.markRestoredStores(state, next, now)
	if err := t.placePartitions(next, released, copies, now); err != nil {
		return nil, nil, err
	}
	t.completeRetirements(state, next, now)
	t.removeSilentStores(state, next, copies, now)
	t.fencePreviousOwners(state, next, now)
	return next, released, nil
}

// requeue puts releases back at the front of the queue for the next plan.
func (t *term) requeue(released []*release) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.releases = append(released, t.releases...)
}

// admitStores records the new stores and incarnations that renewed within the duration of a lease.
func (t *term) admitStores(state *rpc.ControlState, next *table, now time.Time) {
	for _, status := range t.stores {
		renewedRecently := now.Sub(status.renewedAt) < t.leases.duration()
		if renewedRecently && admissionOf(state, status) == admissionNew {
			if next.admit(status) {
				status.admittedAt = now
			}
		}
	}
}

// placePartitions processes releases, then assigns and moves partitions. It does nothing before the first assignment is due.
func (t *term) placePartitions(next *table, released []*release, copies int, now time.Time) error {
	if len(next.partitions) == 0 && !t.mayAssignFirst(copies, now) {
		return nil
	}
	members := t.placementMembers(next, copies, now)
	partitions := placementTable(next.partitions)
	partitions, err := applyReleases(members, partitions, released)
	if err != nil {
		return err
	}
	partitions, err = planGroups(members, partitions)
	if err != nil {
		return err
	}
	if next.partitions != nil || anyOwned(partitions) {
		next.partitions = ownerships(partitions)
	}
	return nil
}

// partitionGroups is the number of groups of partitions, by remainder of their index: pinned messages go to even partitions
// and free ones to odd ones, so each group is balanced separately.
const partitionGroups = 2

// planGroups plans the groups of partitions separately.
func planGroups(members []placement.Member, partitions []placement.Partition) ([]placement.Partition, error) {
	planned := slices.Clone(partitions)
	for group := range partitionGroups {
		var part []placement.Partition
		for index := group; index < len(partitions); index += partitionGroups {
			part = append(part, partitions[index])
		}
		next, _, err := placement.Plan(members, part, maxConcurrentHandovers)
		if err != nil {
			return partitions, err
		}
		for index, partition := range next {
			planned[index*partitionGroups+group] = partition
		}
	}
	return planned, nil
}

// mayAssignFirst reports whether the first assignment is due: enough stores hold a lease, and either all known stores do
// after firstAssignmentDelay or maxFirstAssignmentDelay has passed. The delay avoids moving partitions right afterwards.
func (t *term) mayAssignFirst(copies int, now time.Time) bool {
	holding := 0
	for _, status := range t.stores {
		if t.leases.alive(status.node, status.incarnation, now) {
			holding++
		}
	}
	waited := now.Sub(t.firstStore)
	return holding >= copies && (waited >= maxFirstAssignmentDelay || waited >= firstAssignmentDelay && holding == len(t.stores))
}

// placementMembers returns the placement members for the recorded stores and for former incarnations that still own partitions.
func (t *term) placementMembers(next *table, copies int, now time.Time) []placement.Member {
	members := make([]placement.Member, 0, len(next.stores)+1)
	movesOffImpaired := t.countImpaired(next, now) < copies
	for _, store := range next.stores {
		alive := t.isAlive(store, now)
		retired := isRetired(next.retirements, store.Node)
		status := t.stores[store.Node]
		current := status != nil && status.incarnation == store.Incarnation
		leaves := current && (status.leaving || movesOffImpaired && status.impaired(now))
		members = append(members, placement.Member{
			Node:        store.Node,
			Incarnation: store.Incarnation,
			Zone:        store.Zone,
			Alive:       alive,
			Ended:       !alive && t.leases.ended(store.Node, store.Incarnation, now),
			Leaving:     store.Leaving || leaves,
			Eligible:    !retired && !isRemoved(store),
		})
	}
	return append(members, formerOwners(next)...)
}

// countImpaired counts the stores whose disks prevent them from accepting messages. If there are more than may fail at the same time, the
// cause is not in single machines but, for example, overload, to which moving partitions would add.
func (t *term) countImpaired(next *table, now time.Time) int {
	count := 0
	for _, store := range next.stores {
		status := t.stores[store.Node]
		if status != nil && status.incarnation == store.Incarnation && status.impaired(now) {
			count++
		}
	}
	return count
}

// formerOwners returns the incarnations that own partitions but were replaced by a later one, which proves that they have ended.
func formerOwners(next *table) []placement.Member {
	var members []placement.Member
	seen := make(map[string]bool)
	for _, ownership := range next.partitions {
		store := findStore(next.stores, ownership.Node)
		if ownership.Node == "" || store != nil && store.Incarnation == ownership.Incarnation {
			continue
		}
		if seen[ownership.Incarnation] {
			continue
		}
		seen[ownership.Incarnation] = true
		members = append(members, placement.Member{
			Node:        ownership.Node,
			Incarnation: ownership.Incarnation,
			Ended:       true,
		})
	}
	return members
}

// applyReleases hands released partitions over. A release for an earlier epoch has taken effect already and is ignored.
func applyReleases(members []placement.Member, partitions []placement.Partition, released []*release) ([]placement.Partition, error) {
	for _, request := range released {
		for partition, epoch := range request.epochs {
			if !isReleaseOf(partitions, int(partition), request) {
				continue
			}
			next, err := placement.Release(members, partitions, int(partition), epoch)
			if err != nil && !errors.Is(err, placement.ErrStaleEpoch) {
				return partitions, err
			}
			partitions = next
		}
	}
	return partitions, nil
}

// isReleaseOf reports whether a release was requested by the current owner of the partition.
func isReleaseOf(partitions []placement.Partition, partition int, request *release) bool {
	if partition >= len(partitions) {
		return false
	}
	owned := partitions[partition]
	return owned.Owner == request.node && owned.Incarnation == request.incarnation
}

// placementTable converts ownerships to partitions of package placement. Without ownerships, all partitions are unowned.
func placementTable(ownerships []*rpc.Ownership) []placement.Partition {
	partitions := make([]placement.Partition, partitionCount)
	for index, ownership := range ownerships {
		partitions[index] = placement.Partition{
			Owner:       ownership.Node,
			Incarnation: ownership.Incarnation,
			Epoch:       ownership.Epoch,
			Releasing:   ownership.Releasing,
			Successor:   ownership.Successor,
		}
	}
	return partitions
}

func ownerships(partitions []placement.Partition) []*rpc.Ownership {
	owners := make([]*rpc.Ownership, len(partitions))
	for index, partition := range partitions {
		owners[index] = &rpc.Ownership{
			Node:        partition.Owner,
			Incarnation: partition.Incarnation,
			Epoch:       partition.Epoch,
			Releasing:   partition.Releasing,
			Successor:   partition.Successor,
		}
	}
	return owners
}

func anyOwned(partitions []placement.Partition) bool {
	for _, partition := range partitions {
		if partition.Owner != "" {
			return true
		}
	}
	return false
}

// fencePreviousOwners refuses a new lease to each store that loses partitions because its lease ended, until it knows
// the map in which they are reassigned. A later incarnation of the store needs no fence, since it owns none of them.
func (t *term) fencePreviousOwners(state *rpc.ControlState, next *table, now time.Time) {
	for index, before := range state.Partitions {
		after := next.partitions[index]
		if before.Epoch == after.Epoch || before.Node == "" {
			continue
		}
		member := findStore(next.stores, before.Node)
		replaced := member == nil || member.Incarnation != before.Incarnation
		if !replaced && t.leases.ended(before.Node, before.Incarnation, now) {
			t.fences[before.Node] = state.MapVersion + 1
		}
	}
}
