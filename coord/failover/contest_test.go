package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// contestedWalk restarts members while others contest the leadership: what a restarted member believes of the leader
// matters most there.
func contestedWalk(seed uint64, mutation mutation) *world {
	return walkTroubledBy(seed, 3, mutation, (*world).causeContests)
}

func (world *world) causeContests() {
	world.repeat(3500*time.Millisecond, 5*time.Second, func() {
		if world.now < troubledTime {
			world.causeContest()
		}
	})
}

// causeContest has the leader resign, while the two others may not hear each other.
func (world *world) causeContest() {
	world.faults++
	clear(world.cuts)
	first := world.leading()
	if first == nil || first.frozen {
		return
	}
	others := world.without(first)
	if world.chance(0.5) {
		world.cutPair(others[0], others[1])
	}
	first.step(resign{})
	world.after(world.duration(200*time.Millisecond, 800*time.Millisecond), func() { world.isolateFormer(first) })
}

// isolateFormer cuts the former leader off from its successor and restarts the third member around the moment at which
// the former leader may campaign.
func (world *world) isolateFormer(first *process) {
	clear(world.cuts)
	second := world.leading()
	if second == nil || second == first {
		return
	}
	world.cutPair(first, second)
	third := world.without(first, second)[0]
	world.after(world.duration(600*time.Millisecond, 1600*time.Millisecond), func() { world.restartSoon(third) })
}

// restartSoon ends a process that is back within a fraction of the lease.
func (world *world) restartSoon(ended *process) {
	if ended.machine == nil {
		return
	}
	ended.stop()
	world.after(world.duration(restartFrom, restartAtLast), func() { ended.start(false) })
}

// leading returns a process that leads, or nil.
func (world *world) leading() *process {
	for _, process := range world.processes {
		if process.isLeading() {
			return process
		}
	}
	return nil
}

func (world *world) without(excepted ...*process) []*process {
	var others []*process
	for _, process := range world.processes {
		if !slices.Contains(excepted, process) {
			others = append(others, process)
		}
	}
	return others
}

func (world *world) cutPair(one, other *process) {
	world.cuts[link{one.address, other.address}] = true
	world.cuts[link{other.address, one.address}] = true
}

func TestContestedWalk(t *testing.T) {
	for _, timing := range []Timing{{}, hasty} {
		for seed := range *walkSeeds {
			simulated := contestedWalk(seed, mutation{timing: timing})
			must.EqOp(t, "", simulated.checker.violation, must.Sprintf("seed %d", seed))
			must.Positive(t, len(simulated.checker.succeeded))
		}
	}
}

// TestContestedWalkCatchesMutations shows that the checks notice a record that lacks the leader.
func TestContestedWalkCatchesMutations(t *testing.T) {
	cases := []struct {
		name     string
		mutation mutation
	}{
		{"the leader of an accepted heartbeat is not written", mutation{beforeSave: keepOldLeader}},
		{"the leader of the epoch voted in is not written", mutation{beforeSave: keepCandidate}},
		{"a restarted witness assumes no grant", mutation{afterStart: assumeNoGrant}},
	}
	for _, altered := range cases {
		altered.mutation.timing = hasty
		t.Run(altered.name, func(t *testing.T) {
			const maxSeeds = 300
			for seed := range uint64(maxSeeds) {
				violation := contestedWalk(seed, altered.mutation).checker.violation
				if violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("not noticed in %d walks", maxSeeds)
		})
	}
}

// keepOldLeader leaves the leader out of what is written of an accepted heartbeat.
func keepOldLeader(process *process, record Record) Record {
	if process.machine.grant.leader == record.VotedFor {
		record.VotedFor = process.writtenVote().VotedFor
	}
	return record
}

// keepCandidate leaves the leader out where another candidate was voted for in its epoch.
func keepCandidate(process *process, record Record) Record {
	written := process.writtenVote()
	if written.VotedEpoch == record.VotedEpoch {
		record.VotedFor = written.VotedFor
	}
	return record
}

// writtenVote returns the record that was written last, synced or not.
func (process *process) writtenVote() Record {
	switch {
	case process.nextSave != nil:
		return process.nextSave.record
	case process.saving != nil:
		return process.saving.record
	case process.disk != nil:
		record, err := DecodeRecord(process.disk)
		if err != nil {
			panic(err)
		}
		return record
	}
	return Record{}
}

// assumeNoGrant lets a restarted member vote for anybody.
func assumeNoGrant(process *process) {
	process.machine.grant = grant{}
	process.machine.electionAt = process.clock()
}
