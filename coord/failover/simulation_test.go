package failover

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	faultPhase    = 40 * time.Second
	recoveryPhase = 15 * time.Second
)

// simulationSeeds can be raised for long test runs.
var simulationSeeds = flag.Uint64("walks", 60, "simulations of each kind")

// runSimulation runs one seed: a phase with faults, then one without, in which the group must recover.
func runSimulation(seed uint64, members int, mutation mutation) *simulator {
	return runSimulationWithFaults(seed, members, mutation, (*simulator).scheduleRandomFaults)
}

// runSimulationWithFaults is like runSimulation with the faults that scheduleFaults schedules.
func runSimulationWithFaults(seed uint64, members int, mutation mutation, scheduleFaults func(*simulator)) *simulator {
	sim := newSimulator(seed, members, mutation)
	sim.repeat(20*time.Millisecond, 120*time.Millisecond, sim.proposeRandomly)
	sim.repeat(500*time.Millisecond, 4*time.Second, func() { sim.isIdle = !sim.isIdle })
	sim.repeat(200*time.Millisecond, 400*time.Millisecond, sim.replaceMembers)
	sim.repeat(10*time.Millisecond, 200*time.Millisecond, sim.readAtLeaders)
	scheduleFaults(sim)
	sim.run(faultPhase)
	sim.heal()
	before := len(sim.checker.succeeded)
	sim.run(faultPhase + recoveryPhase)
	sim.checker.checkEnd()
	if len(sim.checker.succeeded) == before {
		sim.checker.violate("nothing was committed after the fault phase")
	}
	sim.checkMembersAreCurrent()
	return sim
}

// repeat repeats an action with random pauses.
func (simulator *simulator) repeat(from, below time.Duration, action func()) {
	simulator.schedule(simulator.duration(from, below), func() {
		action()
		simulator.repeat(from, below, action)
	})
}

// proposeRandomly proposes, usually at a leader, and sometimes abandons the proposal early.
func (simulator *simulator) proposeRandomly() {
	if simulator.isIdle && simulator.now < faultPhase {
		return
	}
	target := simulator.processes[simulator.random.IntN(len(simulator.processes))]
	for _, process := range simulator.processes {
		if process.isLeading() && simulator.chance(0.8) {
			target = process
		}
	}
	if target.machine == nil || target.isPaused {
		return
	}
	simulator.lastCall++
	proposal := simulator.lastCall
	name := fmt.Sprintf("p%d", proposal)
	simulator.checker.names[proposal] = name
	change := func(old []byte) ([]byte, error) { return append(slices.Clone(old), name+","...), nil }
	target.step(propose{proposal: proposal, change: change})
	if simulator.chance(0.1) && target.machine != nil {
		target.step(abandon{proposal: proposal, cause: fmt.Errorf("given up")})
	}
}

// readAtLeaders reads at every process that considers itself the leader.
func (simulator *simulator) readAtLeaders() {
	for _, process := range simulator.processes {
		if process.machine != nil && !process.isPaused && process.machine.leadership != nil {
			process.read()
		}
	}
}

// replaceMembers acts as the operator of the group: at the leader, it removes identities that are permanently lost and
// adds processes that are not members.
func (simulator *simulator) replaceMembers() {
	for _, leader := range simulator.processes {
		if leader.isPaused || !leader.isLeading() {
			continue
		}
		if change, isRequired := simulator.requiredChange(leader.machine.record.Contents.Members); isRequired {
			simulator.lastCall++
			proposal := simulator.lastCall
			leader.step(propose{proposal: proposal, members: &change})
			simulator.schedule(changeTimeout, leader.atIncarnation(func() {
				leader.step(abandon{proposal: proposal, cause: errChangeTimeout})
			}))
		}
	}
}

// changeTimeout is the time after which a membership change is abandoned.
const changeTimeout = 2500 * time.Millisecond

var errChangeTimeout = errors.New("membership change timed out")

func (simulator *simulator) requiredChange(members []Member) (memberChange, bool) {
	if simulator.mutation.replacesVoters {
		return simulator.randomReplacement(members)
	}
	for _, process := range simulator.processes {
		if process.identity == "" || hasMember(members, process.identity) {
			continue
		}
		change := memberChange{add: &Member{ID: process.identity, Address: process.address}}
		for _, member := range members {
			if member.Address == process.address {
				change.removeID = member.ID
			}
		}
		return change, true
	}
	return memberChange{}, false
}

// randomReplacement replaces a voter by a process that isn't one: a voter that is permanently lost, otherwise a random one.
func (simulator *simulator) randomReplacement(members []Member) (memberChange, bool) {
	for _, process := range simulator.processes {
		if process.identity == "" || hasMember(members, process.identity) {
			continue
		}
		removed := members[simulator.random.IntN(len(members))]
		for _, member := range members {
			if simulator.processAt(member.Address).identity != member.ID {
				removed = member
			}
		}
		return memberChange{add: &Member{ID: process.identity, Address: process.address}, removeID: removed.ID}, true
	}
	return memberChange{}, false
}

// scheduleRandomFaults injects random faults until the end of the fault phase.
func (simulator *simulator) scheduleRandomFaults() {
	simulator.repeat(100*time.Millisecond, 1200*time.Millisecond, func() {
		if simulator.now < faultPhase {
			simulator.injectRandomFault()
		}
	})
}

// injectRandomFault injects one random fault.
func (simulator *simulator) injectRandomFault() {
	simulator.faults++
	target := simulator.processes[simulator.random.IntN(len(simulator.processes))]
	for _, process := range simulator.processes {
		if process.isLeading() && simulator.chance(0.3) {
			target = process
		}
	}
	switch simulator.random.IntN(14) {
	case 0, 1:
		simulator.kill(target)
	case 2:
		for _, process := range simulator.processes {
			simulator.kill(process)
		}
	case 3, 4:
		simulator.pause(target)
	case 5:
		simulator.cutRandomLinks()
	case 6:
		simulator.isolate(target)
	case 7, 8:
		clear(simulator.brokenLinks)
		simulator.lossRate = 0
	case 9:
		simulator.lossRate = simulator.random.Float64() / 3
	case 10:
		target.slowDisk = !target.slowDisk
		if target.machine != nil && !target.isPaused {
			target.step(resign{})
		}
	case 11:
		simulator.loseDisk(target)
	case 12, 13:
		simulator.disconnectPair(target)
	}
}

// kill stops a process and restarts it later with its disk.
func (simulator *simulator) kill(killed *process) {
	if killed.machine == nil {
		return
	}
	killed.stop()
	incarnation := killed.incarnation
	simulator.schedule(simulator.restartDelay(), func() {
		if killed.incarnation == incarnation {
			killed.start(false)
		}
	})
}

func (simulator *simulator) restartDelay() time.Duration {
	if simulator.chance(0.5) {
		return simulator.duration(10*time.Millisecond, 200*time.Millisecond)
	}
	return simulator.duration(200*time.Millisecond, 3*time.Second)
}

func (simulator *simulator) pause(target *process) {
	if target.machine == nil || target.isPaused {
		return
	}
	target.isPaused = true
	incarnation := target.incarnation
	simulator.schedule(simulator.duration(100*time.Millisecond, 3*time.Second), func() {
		if target.incarnation == incarnation {
			target.resume()
		}
	})
}

// cutRandomLinks cuts random links in one direction.
func (simulator *simulator) cutRandomLinks() {
	for _, from := range simulator.processes {
		for _, to := range simulator.processes {
			if from != to && simulator.chance(0.3) {
				simulator.brokenLinks[link{from.address, to.address}] = true
			}
		}
	}
}

func (simulator *simulator) isolate(target *process) {
	for _, other := range simulator.processes {
		if other != target {
			simulator.brokenLinks[link{target.address, other.address}] = true
			simulator.brokenLinks[link{other.address, target.address}] = true
		}
	}
}

// disconnectPair cuts both directions between a process and one other, and may briefly kill the third.
func (simulator *simulator) disconnectPair(target *process) {
	position := slices.Index(simulator.processes, target)
	other := simulator.processes[(position+1)%len(simulator.processes)]
	third := simulator.processes[(position+2)%len(simulator.processes)]
	simulator.brokenLinks[link{target.address, other.address}] = true
	simulator.brokenLinks[link{other.address, target.address}] = true
	if simulator.chance(0.5) {
		simulator.schedule(simulator.duration(0, 1200*time.Millisecond), func() { simulator.kill(third) })
	}
}

// loseDisk loses the disk of a process, unless another voter has lost its disk and hasn't been replaced yet, in the newest
// committed lists or in uncommitted ones. A replaced disk may be lost again at any time.
func (simulator *simulator) loseDisk(target *process) {
	if !simulator.areOthersCurrent(simulator.checker.newest.contents, target) {
		return
	}
	for _, process := range simulator.processes {
		held := process.heldRecord()
		if !held.Version.Less(simulator.checker.newest.version) && !simulator.areOthersCurrent(held.Contents, target) {
			return
		}
	}
	simulator.kill(target)
	target.disk = nil
	target.diskLosses++
	target.identity = ""
}

// heldRecord returns the record of a process, or the record on its disk while it is stopped.
func (process *process) heldRecord() Record {
	if process.machine != nil {
		return process.machine.record
	}
	held, _ := DecodeRecord(process.disk)
	return held
}

// areOthersCurrent reports whether all voters other than one process have the identity of the process at their address.
func (simulator *simulator) areOthersCurrent(contents Contents, except *process) bool {
	for _, member := range contents.voters() {
		voter := simulator.processAt(member.Address)
		if voter != except && voter.identity != member.ID {
			return false
		}
	}
	return true
}

func (simulator *simulator) areMembersCurrent() bool {
	members := simulator.checker.newest.contents.Members
	expected := len(simulator.processes)
	if simulator.mutation.replacesVoters {
		expected--
	}
	if len(members) != expected || simulator.checker.newest.contents.isJoint() && !simulator.mutation.replacesVoters {
		return false
	}
	for _, member := range members {
		if simulator.processAt(member.Address).identity != member.ID {
			return false
		}
	}
	return true
}

// heal ends all faults. Stopped processes restart as scheduled.
func (simulator *simulator) heal() {
	clear(simulator.brokenLinks)
	simulator.lossRate = 0
	for _, process := range simulator.processes {
		process.slowDisk = false
		process.resume()
	}
}

func (simulator *simulator) checkMembersAreCurrent() {
	if !simulator.areMembersCurrent() {
		simulator.checker.violate("the members differ from the running processes: %v", simulator.checker.newest.contents.Members)
	}
}

// shortJitter makes candidates start early, so that the end of a lease and the next election are close together.
var shortJitter = Timing{ElectionJitter: 20 * time.Millisecond}

func TestWalk(t *testing.T) {
	checkSimulations(t, 3, Timing{})
	checkSimulations(t, 4, Timing{})
	checkSimulations(t, 3, shortJitter)
}

// TestSwapWalk replaces running voters by one another continuously.
func TestSwapWalk(t *testing.T) {
	changes := 0
	for seed := range *simulationSeeds {
		sim := runSimulation(seed, 4, mutation{replacesVoters: true})
		must.EqOp(t, "", sim.checker.violation, must.Sprintf("seed %d", seed))
		changes += sim.checker.memberChanges
	}
	t.Logf("%d committed lists of voters", changes)
	must.Greater(t, int(*simulationSeeds), changes)
}

// mixedLeases is a group in which every second process is configured with a longer lease.
var mixedLeases = []time.Duration{defaultLease, time.Second}

// TestVersionsWithOtherLeasesRunSideBySide runs members with different lease durations, as during a rolling upgrade that
// changes the lease, so that leaders with either duration alternate.
func TestVersionsWithOtherLeasesRunSideBySide(t *testing.T) {
	checkSimulationsWith(t, 3, mutation{leases: mixedLeases})
	checkSimulationsWith(t, 4, mutation{leases: mixedLeases, timing: shortJitter})
}

// grantOwnLease makes a follower grant leases of its own configured duration instead of the one in the request.
func grantOwnLease(process *process, event input) input {
	if call, ok := event.(replicateCall); ok {
		call.request.Lease = process.machine.config.timing.Lease
		return call
	}
	return event
}

func checkSimulations(t *testing.T, members int, timing Timing) {
	checkSimulationsWith(t, members, mutation{timing: timing})
}

func checkSimulationsWith(t *testing.T, members int, altered mutation) {
	committed, unknown, losses, reads := 0, 0, 0, 0
	for seed := range *simulationSeeds {
		sim := runSimulation(seed, members, altered)
		must.EqOp(t, "", sim.checker.violation, must.Sprintf("members %d, seed %d", members, seed))
		committed += len(sim.checker.succeeded)
		unknown += sim.checker.unknown
		reads += sim.readsDone
		for _, process := range sim.processes {
			losses += process.diskLosses
		}
	}
	t.Logf("%d members: %d acknowledged, %d unknown, %d disks lost, %d reads", members, committed, unknown, losses, reads)
	must.Positive(t, committed)
	must.Positive(t, reads)
	must.Positive(t, losses)
}

// TestWalkCatchesMutations checks that the simulation detects a protocol that lacks one of its rules.
func TestWalkCatchesMutations(t *testing.T) {
	cases := []struct {
		name     string
		mutation mutation
	}{
		{"a voter votes at once after a restart", mutation{
			timing: shortJitter,
			afterStart: func(process *process) {
				process.machine.grant = grant{}
				process.machine.campaignAt = process.clock()
			},
		}},
		{"a voter forgets its grant", mutation{beforeStep: forgetGrant}},
		{"a follower grants a lease of its own duration", mutation{leases: mixedLeases, timing: shortJitter, beforeStep: grantOwnLease}},
		{"the leader ignores the margin", mutation{
			timing: Timing{Margin: time.Nanosecond, ElectionJitter: shortJitter.ElectionJitter},
		}},
		{"a voter does not compare versions", mutation{beforeStep: pretendNewestVersion}},
		{"votes and acknowledgements do not wait for the sync", mutation{confirmsUnsynced: true}},
		{"a process without its disk keeps its identity", mutation{keepIdentity: true}},
		{"a version is committed once a single member holds it", mutation{beforeStep: pretendSynced}},
		{"a read does not wait for its round", mutation{clockDrift: excessiveDrift, afterStep: endReadsAtOnce}},
		{"voters are replaced without a joint version", mutation{replacesVoters: true, afterStep: dropOldMembers, afterEffect: withoutOldMembers}},
		{"a learner becomes a voter before it holds the contents", mutation{afterStep: countLearnerEarly}},
		{"the new list alone is written before added voters hold the joint version", mutation{beforeStep: pretendAddedHold}},
	}
	for _, altered := range cases {
		t.Run(altered.name, func(t *testing.T) {
			const maxSeeds = 300
			for seed := range uint64(maxSeeds) {
				members := 3
				if altered.mutation.replacesVoters {
					members = 4
				}
				scheduleFaults := (*simulator).scheduleRandomFaults
				if altered.mutation.clockDrift > 0 {
					scheduleFaults = (*simulator).isolateLeaders
				}
				violation := runSimulationWithFaults(seed, members, altered.mutation, scheduleFaults).checker.violation
				if violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("not detected in %d simulations", maxSeeds)
		})
	}
}

// excessiveDrift makes the clock of a leader so slow that its lease outlasts the election of its successor.
const excessiveDrift = 0.7

// isolateLeaders repeatedly isolates the leader for long enough that the others elect another one.
func (simulator *simulator) isolateLeaders() {
	simulator.repeat(time.Second, 4*time.Second, func() {
		clear(simulator.brokenLinks)
		if simulator.now >= faultPhase {
			return
		}
		simulator.faults++
		for _, process := range simulator.processes {
			if process.isLeading() {
				simulator.isolate(process)
			}
		}
	})
}

// TestReadsRestOnNoClock lets clocks drift by far more than the margin. There may be two leaders then, but reads must still
// return the newest state.
func TestReadsRestOnNoClock(t *testing.T) {
	reads := 0
	for seed := range *simulationSeeds {
		sim := runSimulationWithFaults(seed, 3, mutation{clockDrift: excessiveDrift}, (*simulator).isolateLeaders)
		must.EqOp(t, "", sim.checker.violation, must.Sprintf("seed %d", seed))
		reads += sim.readsDone
	}
	t.Logf("%d reads", reads)
	must.Positive(t, reads)
}

func endReadsAtOnce(process *process) {
	lead := process.machine.leadership
	if lead == nil || len(lead.reads) == 0 {
		return
	}
	for position := range lead.reads {
		lead.reads[position].round = 1
	}
	process.machine.finishReads(process.clock())
}

func dropOldMembers(process *process) { process.machine.record.Contents.OldMembers = nil }

func withoutOldMembers(requested effect) effect {
	switch requested := requested.(type) {
	case persist:
		requested.record.Contents.OldMembers = nil
		return requested
	case sendReplicate:
		if requested.request.Contents != nil {
			contents := *requested.request.Contents
			contents.OldMembers = nil
			requested.request.Contents = &contents
		}
		return requested
	}
	return requested
}

func countLearnerEarly(process *process) {
	lead := process.machine.leadership
	if lead != nil && lead.pendingChange != nil && lead.pendingChange.learner != nil {
		lead.pendingChange.learner = nil
		process.machine.queueJointVersion(process.clock())
	}
}

func pretendAddedHold(process *process, event input) input {
	lead := process.machine.leadership
	if lead == nil || !process.machine.record.Contents.isJoint() {
		return event
	}
	for _, added := range process.machine.record.Contents.addedMembers() {
		progress := process.machine.peerProgress(added.ID)
		progress.isVersionKnown = true
		if progress.version.Less(lead.jointSince) {
			progress.version = lead.jointSince
		}
	}
	return event
}

func forgetGrant(process *process, event input) input {
	if _, isVote := event.(voteCall); isVote {
		process.machine.grant = grant{}
	}
	return event
}

func pretendNewestVersion(_ *process, event input) input {
	asked, isVote := event.(voteCall)
	if !isVote {
		return event
	}
	asked.request.StateEpoch = math.MaxUint64
	return asked
}

func pretendSynced(process *process, event input) input {
	if process.machine.leadership == nil {
		return event
	}
	for _, member := range process.machine.recipients() {
		process.machine.peerProgress(member.ID).version = process.machine.record.Version
	}
	return event
}
