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
	minPlanInterval        = 50 * time.Millisecond  // least time between two plans
	maxPlanInterval        = 250 * time.Millisecond // most time between two plans
	maxConcurrentHandovers = 32                     // partitions that are being handed over at a time
)

// errTableChanged reports that the table was changed since a plan was made.
var errTableChanged = errors.New("the table changed meanwhile: plan again")

// wakePlanner has the planner look at the table soon.
func (s *Server) wakePlanner() {
	select {
	case s.plannerWake <- struct{}{}:
	default:
	}
}

// runPlanner keeps the table in step with the stores until the term ends. The end of a lease comes without an event: the planner looks
// at that moment.
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

// nextPlanDelay returns the time until the next plan is due without an event.
func (t *term) nextPlanDelay(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.leases.nextChange(now, maxPlanInterval)
}

// planOnce makes a plan and commits it where it changes anything. A plan that could not be committed is made
// anew at the next turn.
func (s *Server) planOnce(t *term) {
	if !s.state.leading() {
		return
	}
	state := s.state.committed()
	next, released, err := t.plan(state, s.requiredCopies(), time.Now())
	if err != nil {
		s.log.Error(err, "the table stays as it is")
		return
	}
	if !next.equals(state) {
		if err := s.commitTable(t, state.MapVersion, next); err != nil {
			s.log.V(1).Info("the table was not changed", "error", err.Error())
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

// plan works out the table that follows from what is known now. It returns the releases that it has taken up.
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

// requeue keeps releases for the next plan.
func (t *term) requeue(released []*release) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.releases = append(released, t.releases...)
}

// admitStores records the stores and incarnations that have come and are still there.
func (t *term) admitStores(state *rpc.ControlState, next *table, now time.Time) {
	for _, status := range t.stores {
		isThere := now.Sub(status.renewedAt) < t.leases.duration()
		if isThere && admissionOf(state, status) == admissionNew {
			if next.admit(status) {
				status.admittedAt = now
			}
		}
	}
}

// placePartitions releases, assigns and moves partitions.
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

// partitionGroups is the number of groups of partitions, by remainder: pinned messages go to even partitions and free ones to
// odd ones, so each group is balanced for itself.
const partitionGroups = 2

// planGroups plans each group of partitions.
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

// mayAssignFirst reports whether enough stores have come for the first assignment, so that each gets its share
// at once.
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

// placementMembers lists what is known of the stores, and of former incarnations that still own partitions.
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

// countImpaired counts the stores whose disks keep them from accepting. Where there are more than may be lost at one time the cause
// is none of a single machine, such as too much load, and moving partitions would add to it.
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

// formerOwners lists incarnations that own partitions and have been replaced, which proves their end.
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

// applyReleases hands released partitions over. A release of an older epoch is done already.
func applyReleases(members []placement.Member, partitions []placement.Partition, released []*release) ([]placement.Partition, error) {
	for _, wanted := range released {
		for partition, epoch := range wanted.epochs {
			if !isReleaseOf(partitions, int(partition), wanted) {
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

// isReleaseOf reports whether the process that released a partition is its owner.
func isReleaseOf(partitions []placement.Partition, partition int, wanted *release) bool {
	if partition >= len(partitions) {
		return false
	}
	owned := partitions[partition]
	return owned.Owner == wanted.node && owned.Incarnation == wanted.incarnation
}

// placementTable translates the owners; a table without any has partitions that nobody owns yet.
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

// fencePreviousOwners bars each store that loses partitions because its lease ended from a new lease until it knows
// the table that takes them away. A later incarnation of it believes in none of them.
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
