package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// runContestedSimulation restarts members while others contest the leadership. In this situation an election depends most
// on what a restarted member assumes about the leader.
func runContestedSimulation(seed uint64, mutation mutation) *simulator {
	return runSimulationWithFaults(seed, 3, mutation, (*simulator).scheduleContests)
}

func (simulator *simulator) scheduleContests() {
	simulator.repeat(3500*time.Millisecond, 5*time.Second, func() {
		if simulator.now < faultPhase {
			simulator.contestElection()
		}
	})
}

// contestElection makes the leader resign, with a chance that the other two can't reach each other.
func (simulator *simulator) contestElection() {
	simulator.faults++
	clear(simulator.brokenLinks)
	first := simulator.leader()
	if first == nil || first.isPaused {
		return
	}
	others := simulator.processesExcept(first)
	if simulator.chance(0.5) {
		simulator.disconnect(others[0], others[1])
	}
	first.step(resign{})
	simulator.schedule(simulator.duration(200*time.Millisecond, 800*time.Millisecond), func() { simulator.isolateFormerLeader(first) })
}

// isolateFormerLeader cuts the links between the former leader and its successor, and restarts the third member around the
// time at which the former leader may campaign.
func (simulator *simulator) isolateFormerLeader(first *process) {
	clear(simulator.brokenLinks)
	second := simulator.leader()
	if second == nil || second == first {
		return
	}
	simulator.disconnect(first, second)
	third := simulator.processesExcept(first, second)[0]
	simulator.schedule(simulator.duration(600*time.Millisecond, 1600*time.Millisecond), func() { simulator.restartQuickly(third) })
}

// restartQuickly stops a process and restarts it within a fraction of the lease.
func (simulator *simulator) restartQuickly(ended *process) {
	if ended.machine == nil {
		return
	}
	ended.stop()
	simulator.schedule(simulator.duration(minRestartDelay, maxRestartDelay), func() { ended.start(false) })
}

// leader returns a process that leads, or nil.
func (simulator *simulator) leader() *process {
	for _, process := range simulator.processes {
		if process.isLeading() {
			return process
		}
	}
	return nil
}

func (simulator *simulator) processesExcept(excepted ...*process) []*process {
	var others []*process
	for _, process := range simulator.processes {
		if !slices.Contains(excepted, process) {
			others = append(others, process)
		}
	}
	return others
}

func (simulator *simulator) disconnect(one, other *process) {
	simulator.brokenLinks[link{one.address, other.address}] = true
	simulator.brokenLinks[link{other.address, one.address}] = true
}

func TestContestedWalk(t *testing.T) {
	for _, timing := range []Timing{{}, shortJitter} {
		for seed := range *simulationSeeds {
			sim := runContestedSimulation(seed, mutation{timing: timing})
			must.EqOp(t, "", sim.checker.violation, must.Sprintf("seed %d", seed))
			must.Positive(t, len(sim.checker.succeeded))
		}
	}
}

// TestContestedWalkCatchesMutations checks that the simulation detects a record that doesn't name the leader.
func TestContestedWalkCatchesMutations(t *testing.T) {
	cases := []struct {
		name     string
		mutation mutation
	}{
		{"the leader of an accepted heartbeat is not saved", mutation{beforeSave: keepOldLeader}},
		{"the leader of the epoch voted in is not saved", mutation{beforeSave: keepCandidate}},
		{"a restarted voter assumes no grant", mutation{afterStart: assumeNoGrant}},
	}
	for _, altered := range cases {
		altered.mutation.timing = shortJitter
		t.Run(altered.name, func(t *testing.T) {
			const maxSeeds = 300
			for seed := range uint64(maxSeeds) {
				violation := runContestedSimulation(seed, altered.mutation).checker.violation
				if violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("not detected in %d simulations", maxSeeds)
		})
	}
}

// keepOldLeader doesn't save the leader of an accepted heartbeat.
func keepOldLeader(process *process, record Record) Record {
	if process.machine.grant.leader == record.VotedFor {
		record.VotedFor = process.writtenVote().VotedFor
	}
	return record
}

// keepCandidate doesn't save the leader if another candidate was voted for in the same epoch.
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

// assumeNoGrant lets a restarted member vote for any candidate.
func assumeNoGrant(process *process) {
	process.machine.grant = grant{}
	process.machine.campaignAt = process.clock()
}
