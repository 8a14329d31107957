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

// simulationSeeds can be raised for a long search.
var simulationSeeds = flag.Uint64("walks", 60, "random walks of each kind")

// walk plays one seed: trouble, then calm, in which the group must come back.
func runSimulation(seed uint64, members int, mutation mutation) *simulator {
	return runSimulationWithFaults(seed, members, mutation, (*simulator).scheduleRandomFaults)
}

// runSimulationWithFaults is walk with trouble of one kind.
func runSimulationWithFaults(seed uint64, members int, mutation mutation, begin func(*simulator)) *simulator {
	sim := newSimulator(seed, members, mutation)
	sim.repeat(20*time.Millisecond, 120*time.Millisecond, sim.proposeSomewhere)
	sim.repeat(500*time.Millisecond, 4*time.Second, func() { sim.isIdle = !sim.isIdle })
	sim.repeat(200*time.Millisecond, 400*time.Millisecond, sim.replaceMembers)
	sim.repeat(10*time.Millisecond, 200*time.Millisecond, sim.readSomewhere)
	begin(sim)
	sim.run(faultPhase)
	sim.heal()
	before := len(sim.checker.succeeded)
	sim.run(faultPhase + recoveryPhase)
	sim.checker.checkEnd()
	if len(sim.checker.succeeded) == before {
		sim.checker.violate("nothing was committed after the trouble")
	}
	sim.checkMembersAreCurrent()
	return sim
}

// repeat lets something happen again and again, with random pauses.
func (simulator *simulator) repeat(from, below time.Duration, action func()) {
	simulator.schedule(simulator.duration(from, below), func() {
		action()
		simulator.repeat(from, below, action)
	})
}

// proposeSomewhere proposes mostly at a leader, and now and then gives the proposal up early.
func (simulator *simulator) proposeSomewhere() {
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

// readSomewhere reads at every process that believes to lead.
func (simulator *simulator) readSomewhere() {
	for _, process := range simulator.processes {
		if process.machine != nil && !process.isPaused && process.machine.leadership != nil {
			process.read()
		}
	}
}

// replaceMembers does what the owner of the group does: at the leader, it removes identities that are gone for good
// and adds processes that are not members.
func (simulator *simulator) replaceMembers() {
	for _, leader := range simulator.processes {
		if leader.isPaused || !leader.isLeading() {
			continue
		}
		if change, isWanted := simulator.requiredChange(leader.machine.record.Contents.Members); isWanted {
			simulator.lastCall++
			proposal := simulator.lastCall
			leader.step(propose{proposal: proposal, members: &change})
			simulator.schedule(changeTimeout, leader.atIncarnation(func() {
				leader.step(abandon{proposal: proposal, cause: errTakesLong})
			}))
		}
	}
}

// changeTimeout is after how long a change of members is given up.
const changeTimeout = 2500 * time.Millisecond

var errTakesLong = errors.New("takes long")

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

// randomReplacement exchanges a voter for a process that is none: one that is gone for good, else any.
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

// scheduleRandomFaults begins random faults until the calm.
func (simulator *simulator) scheduleRandomFaults() {
	simulator.repeat(100*time.Millisecond, 1200*time.Millisecond, func() {
		if simulator.now < faultPhase {
			simulator.injectRandomFault()
		}
	})
}

// injectRandomFault begins one random fault.
func (simulator *simulator) injectRandomFault() {
	simulator.faults++
	troubled := simulator.processes[simulator.random.IntN(len(simulator.processes))]
	for _, process := range simulator.processes {
		if process.isLeading() && simulator.chance(0.3) {
			troubled = process
		}
	}
	switch simulator.random.IntN(14) {
	case 0, 1:
		simulator.kill(troubled)
	case 2:
		for _, process := range simulator.processes {
			simulator.kill(process)
		}
	case 3, 4:
		simulator.pause(troubled)
	case 5:
		simulator.cutRandomLinks()
	case 6:
		simulator.isolate(troubled)
	case 7, 8:
		clear(simulator.brokenLinks)
		simulator.lossRate = 0
	case 9:
		simulator.lossRate = simulator.random.Float64() / 3
	case 10:
		troubled.slowDisk = !troubled.slowDisk
		if troubled.machine != nil && !troubled.isPaused {
			troubled.step(resign{})
		}
	case 11:
		simulator.loseDisk(troubled)
	case 12, 13:
		simulator.disconnectPair(troubled)
	}
}

// kill ends a process and starts it again with its disk.
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

func (simulator *simulator) pause(troubled *process) {
	if troubled.machine == nil || troubled.isPaused {
		return
	}
	troubled.isPaused = true
	incarnation := troubled.incarnation
	simulator.schedule(simulator.duration(100*time.Millisecond, 3*time.Second), func() {
		if troubled.incarnation == incarnation {
			troubled.resume()
		}
	})
}

// cutRandomLinks cuts single directions.
func (simulator *simulator) cutRandomLinks() {
	for _, from := range simulator.processes {
		for _, to := range simulator.processes {
			if from != to && simulator.chance(0.3) {
				simulator.brokenLinks[link{from.address, to.address}] = true
			}
		}
	}
}

func (simulator *simulator) isolate(troubled *process) {
	for _, other := range simulator.processes {
		if other != troubled {
			simulator.brokenLinks[link{troubled.address, other.address}] = true
			simulator.brokenLinks[link{other.address, troubled.address}] = true
		}
	}
}

// disconnectPair cuts a process off from one other, and may kill the third, which comes back soon.
func (simulator *simulator) disconnectPair(troubled *process) {
	position := slices.Index(simulator.processes, troubled)
	other := simulator.processes[(position+1)%len(simulator.processes)]
	third := simulator.processes[(position+2)%len(simulator.processes)]
	simulator.brokenLinks[link{troubled.address, other.address}] = true
	simulator.brokenLinks[link{other.address, troubled.address}] = true
	if simulator.chance(0.5) {
		simulator.schedule(simulator.duration(0, 1200*time.Millisecond), func() { simulator.kill(third) })
	}
}

// loseDisk loses one disk at a time: only where all other voters, of the newest list and of those that are not committed yet,
// are the processes that are there. A disk that replaces a lost one may be lost again at any time.
func (simulator *simulator) loseDisk(troubled *process) {
	if !simulator.areOthersCurrent(simulator.checker.newest.contents, troubled) {
		return
	}
	for _, process := range simulator.processes {
		held := process.heldRecord()
		if !held.Version.Less(simulator.checker.newest.version) && !simulator.areOthersCurrent(held.Contents, troubled) {
			return
		}
	}
	simulator.kill(troubled)
	troubled.disk = nil
	troubled.diskLosses++
	troubled.identity = ""
}

// heldRecord returns the record of a process, or that on its disk while it is down.
func (process *process) heldRecord() Record {
	if process.machine != nil {
		return process.machine.record
	}
	held, _ := DecodeRecord(process.disk)
	return held
}

// areOthersCurrent reports whether all voters but one process are the processes that are there.
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
	wanted := len(simulator.processes)
	if simulator.mutation.replacesVoters {
		wanted--
	}
	if len(members) != wanted || simulator.checker.newest.contents.isJoint() && !simulator.mutation.replacesVoters {
		return false
	}
	for _, member := range members {
		if simulator.processAt(member.Address).identity != member.ID {
			return false
		}
	}
	return true
}

// heal ends all trouble; processes that are down come back as planned.
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
		simulator.checker.violate("the members are not those that run: %v", simulator.checker.newest.contents.Members)
	}
}

// hasty lets candidates begin soon, so that the end of a lease and the next election come close.
var shortJitter = Timing{ElectionJitter: 20 * time.Millisecond}

func TestWalk(t *testing.T) {
	checkSimulations(t, 3, Timing{})
	checkSimulations(t, 4, Timing{})
	checkSimulations(t, 3, shortJitter)
}

// TestSwapWalk exchanges voters that live for one another all the time.
func TestSwapWalk(t *testing.T) {
	changes := 0
	for seed := range *simulationSeeds {
		sim := runSimulation(seed, 4, mutation{replacesVoters: true})
		must.EqOp(t, "", sim.checker.violation, must.Sprintf("seed %d", seed))
		changes += sim.checker.memberChanges
	}
	t.Logf("%d lists of voters", changes)
	must.Greater(t, int(*simulationSeeds), changes)
}

// mixedLeases is a group in which every second process runs a version that counts on longer leases.
var mixedLeases = []time.Duration{defaultLease, time.Second}

// TestVersionsWithOtherLeasesRunSideBySide has two versions lead in turn, each with its own length of the lease.
func TestVersionsWithOtherLeasesRunSideBySide(t *testing.T) {
	checkSimulationsWith(t, 3, mutation{leases: mixedLeases})
	checkSimulationsWith(t, 4, mutation{leases: mixedLeases, timing: shortJitter})
}

// grantOwnLease has a follower grant leases of the length of its own version, whatever the leader counts on.
func grantOwnLease(process *process, taken input) input {
	if call, ok := taken.(replicateCall); ok {
		call.request.Lease = process.machine.config.timing.Lease
		return call
	}
	return taken
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

// TestWalkCatchesMutations shows that the checks notice a protocol that lacks one of its rules.
func TestWalkCatchesMutations(t *testing.T) {
	cases := []struct {
		name     string
		mutation mutation
	}{
		{"a witness votes at once after a restart", mutation{
			timing: shortJitter,
			afterStart: func(process *process) {
				process.machine.grant = grant{}
				process.machine.campaignAt = process.clock()
			},
		}},
		{"a witness forgets its grant", mutation{beforeStep: forgetGrant}},
		{"a follower grants a lease of its own version's length", mutation{leases: mixedLeases, timing: shortJitter, beforeStep: grantOwnLease}},
		{"the leader ignores the margin", mutation{
			timing: Timing{Margin: time.Nanosecond, ElectionJitter: shortJitter.ElectionJitter},
		}},
		{"a witness does not compare versions", mutation{beforeStep: pretendNewestVersion}},
		{"votes and acknowledgements do not wait for the sync", mutation{confirmsUnsynced: true}},
		{"a process without its disk keeps its identity", mutation{keepIdentity: true}},
		{"a version counts once a single member has it", mutation{beforeStep: pretendSynced}},
		{"a read does not wait for its round", mutation{clockDrift: excessiveDrift, afterStep: endReadsAtOnce}},
		{"voters are exchanged without a joint version", mutation{replacesVoters: true, afterStep: dropOldMembers, afterEffect: withoutOldMembers}},
		{"a learner counts before it holds the contents", mutation{afterStep: countLearnerEarly}},
		{"the new list stands alone before those added hold the joint version", mutation{beforeStep: pretendAddedHold}},
	}
	for _, altered := range cases {
		t.Run(altered.name, func(t *testing.T) {
			const maxSeeds = 300
			for seed := range uint64(maxSeeds) {
				members := 3
				if altered.mutation.replacesVoters {
					members = 4
				}
				trouble := (*simulator).scheduleRandomFaults
				if altered.mutation.clockDrift > 0 {
					trouble = (*simulator).isolateLeaders
				}
				violation := runSimulationWithFaults(seed, members, altered.mutation, trouble).checker.violation
				if violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("not noticed in %d walks", maxSeeds)
		})
	}
}

// excessiveDrift has the clock of a leader run so slowly that its lease outlasts the election of the next.
const excessiveDrift = 0.7

// isolateLeaders cuts the leader off again and again, for long enough for the others to elect another.
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

// TestReadsRestOnNoClock has clocks drift by far more than the margin: there may be two leaders then, but what is read is
// the newest all the same.
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

func withoutOldMembers(wanted effect) effect {
	switch wanted := wanted.(type) {
	case persist:
		wanted.record.Contents.OldMembers = nil
		return wanted
	case sendReplicate:
		if wanted.request.Contents != nil {
			contents := *wanted.request.Contents
			contents.OldMembers = nil
			wanted.request.Contents = &contents
		}
		return wanted
	}
	return wanted
}

func countLearnerEarly(process *process) {
	lead := process.machine.leadership
	if lead != nil && lead.pendingChange != nil && lead.pendingChange.learner != nil {
		lead.pendingChange.learner = nil
		process.machine.queueJointVersion(process.clock())
	}
}

func pretendAddedHold(process *process, taken input) input {
	lead := process.machine.leadership
	if lead == nil || !process.machine.record.Contents.isJoint() {
		return taken
	}
	for _, added := range process.machine.record.Contents.addedMembers() {
		known := process.machine.peer(added.ID)
		known.isVersionKnown = true
		if known.version.Less(lead.jointSince) {
			known.version = lead.jointSince
		}
	}
	return taken
}

func forgetGrant(process *process, taken input) input {
	if _, isVote := taken.(voteCall); isVote {
		process.machine.grant = grant{}
	}
	return taken
}

func pretendNewestVersion(_ *process, taken input) input {
	asked, isVote := taken.(voteCall)
	if !isVote {
		return taken
	}
	asked.request.StateEpoch = math.MaxUint64
	return asked
}

func pretendSynced(process *process, taken input) input {
	if process.machine.leadership == nil {
		return taken
	}
	for _, member := range process.machine.recipients() {
		process.machine.peer(member.ID).version = process.machine.record.Version
	}
	return taken
}
