package failover

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The tests in this file replace a running voter by a joining process, and inject a fault into each member in turn between
// any two steps of the replacement.

const (
	replacementProcesses = 4 // three voters and the joining process
	replacedPosition     = 2 // position of the voter that is replaced
	joiningPosition      = 3
	replacementTimeout   = 4 * time.Second
)

// faultKind is a fault that occurs during a replacement.
type faultKind int

const (
	faultDiskLoss               faultKind = iota // one member loses its disk
	faultDiskAndPowerLoss                        // one member loses its disk, and all others lose power at the same time
	faultPowerLoss                               // all members lose power
	faultPermanentStop                           // one member stops permanently
	faultPermanentStopAndReturn                  // one member stops permanently; the replaced voter was isolated before and reconnects
)

var faultNames = map[faultKind]string{
	faultDiskLoss: "disk loss", faultDiskAndPowerLoss: "disk loss, others lose power", faultPowerLoss: "all lose power",
	faultPermanentStop: "permanent stop", faultPermanentStopAndReturn: "permanent stop while the replaced voter was isolated",
}

// newSettledSimulator returns a group of three voters with a leader and an acknowledged proposal, and a fourth process.
func newSettledSimulator(t *testing.T, seed uint64, altered mutation) *simulator {
	sim := newSimulator(seed, replacementProcesses, altered)
	for limit := 0; len(sim.checker.succeeded) == 0; limit++ {
		must.Less(t, 1000, limit)
		sim.run(sim.now + 10*time.Millisecond)
		sim.proposeAtLeader()
	}
	sim.run(sim.now + 3*time.Second) // by now the fourth process acknowledges heartbeats
	return sim
}

// proposeAtLeader proposes at the leader and returns it, or nil if there is none.
func (simulator *simulator) proposeAtLeader() *process {
	for _, leader := range simulator.processes {
		if leader.isPaused || !leader.isLeading() {
			continue
		}
		simulator.lastCall++
		name := fmt.Sprintf("p%d", simulator.lastCall)
		simulator.checker.names[simulator.lastCall] = name
		leader.step(propose{proposal: simulator.lastCall, change: func(old []byte) ([]byte, error) {
			return append(append([]byte{}, old...), name+","...), nil
		}})
		return leader
	}
	return nil
}

// beginReplacement proposes at the leader to replace the third voter by the joining process.
func (simulator *simulator) beginReplacement() {
	removed, added := simulator.processes[replacedPosition], simulator.processes[joiningPosition]
	change := memberChange{add: &Member{ID: added.identity, Address: added.address}, removeID: removed.identity}
	for _, leader := range simulator.processes {
		if leader.isLeading() {
			simulator.lastCall++
			leader.step(propose{proposal: simulator.lastCall, members: &change})
		}
	}
}

// isReplaced reports whether the newest committed contents have the new list alone.
func (simulator *simulator) isReplaced() bool {
	contents := simulator.checker.newest.contents
	return !contents.isJoint() && hasMember(contents.Members, simulator.processes[joiningPosition].identity)
}

// runSteps runs until the members have taken the given number of steps. It returns false if that takes longer than until.
func (simulator *simulator) runSteps(steps int, until time.Duration) bool {
	for last := simulator.steps + steps; simulator.steps < last; {
		if len(simulator.events) == 0 || simulator.events[0].at > until || simulator.checker.violation != "" {
			return false
		}
		simulator.run(simulator.events[0].at)
	}
	return true
}

// injectFault injects a fault into a member. Members that lose power restart; one that stops permanently doesn't.
func (simulator *simulator) injectFault(fault faultKind, position int) {
	target := simulator.processes[position]
	switch fault {
	case faultDiskLoss:
		simulator.restartWithEmptyDisk(target)
	case faultDiskAndPowerLoss:
		for _, other := range simulator.processes {
			if other != target {
				simulator.kill(other)
			}
		}
		simulator.restartWithEmptyDisk(target)
	case faultPowerLoss:
		for _, process := range simulator.processes {
			simulator.kill(process)
		}
	case faultPermanentStop, faultPermanentStopAndReturn:
		target.stop()
	}
}

// restartWithEmptyDisk stops a process and restarts it with an empty disk.
func (simulator *simulator) restartWithEmptyDisk(target *process) {
	simulator.kill(target)
	target.disk = nil
	target.diskLosses++
	target.identity = ""
}

// runReplacement injects a fault the given number of steps after the start of a replacement. It reports whether the
// replacement was still in progress then, and the first violation.
func runReplacement(t *testing.T, altered mutation, fault faultKind, position, after int) (wasInProgress bool, violation string) {
	sim := newSettledSimulator(t, uint64(position), altered)
	replacedVoter := sim.processes[replacedPosition]
	if fault == faultPermanentStopAndReturn {
		sim.isolate(replacedVoter)
		sim.run(sim.now + 3*time.Second) // if it led, another voter leads by now
	}
	sim.beginReplacement()
	if !sim.runSteps(after, sim.now+replacementTimeout) || sim.isReplaced() {
		return false, sim.checker.violation
	}
	sim.injectFault(fault, position)
	sim.heal()
	before := len(sim.checker.succeeded)
	sim.repeat(50*time.Millisecond, 100*time.Millisecond, func() { sim.proposeAtLeader() })
	sim.run(sim.now + 12*time.Second)
	if len(sim.checker.succeeded) == before {
		sim.checker.violate("nothing was committed after the fault")
	}
	sim.checker.checkEnd()
	return true, sim.checker.violation
}

// runReplacements runs a replacement once for each fault, member and step, and returns the number of runs and the first
// violation.
func runReplacements(t *testing.T, altered mutation) (runs int, violation string) {
	for fault := faultDiskLoss; fault <= faultPermanentStopAndReturn; fault++ {
		for position := range replacementProcesses {
			if fault == faultPermanentStopAndReturn && position == replacedPosition {
				continue
			}
			for after := 1; ; after++ {
				wasInProgress, violation := runReplacement(t, altered, fault, position, after)
				if violation != "" {
					return runs, fmt.Sprintf("%s: member %d, after %d steps: %s", faultNames[fault], position, after, violation)
				}
				if !wasInProgress {
					break
				}
				runs++
			}
		}
	}
	return runs, ""
}

// TestReplacementToleratesAFaultAtEachStep checks that the group keeps working and loses nothing that was acknowledged, with a
// fault in each member at each step of a replacement.
func TestReplacementToleratesAFaultAtEachStep(t *testing.T) {
	runs, violation := runReplacements(t, mutation{})
	must.EqOp(t, "", violation)
	t.Logf("%d runs", runs)
	must.Greater(t, 100, runs)
}

// TestReplacementCatchesRemovalFirst checks that the test above detects a replacement that removes the old voter first.
func TestReplacementCatchesRemovalFirst(t *testing.T) {
	_, violation := runReplacements(t, mutation{beforeStep: removeFirst})
	must.NotEqOp(t, "", violation)
	t.Log(violation)
}

// removeFirst starts a replacement by removing the old voter, and adds the new one afterwards.
func removeFirst(process *process, event input) input {
	wanted, isProposal := event.(propose)
	if !isProposal || wanted.members == nil || wanted.members.add == nil || wanted.members.removeID == "" {
		return event
	}
	added := *wanted.members.add
	simulator := process.simulator
	simulator.schedule(20*time.Millisecond, process.atIncarnation(func() {
		process.step(propose{proposal: 0, members: &memberChange{add: &added}})
	}))
	wanted.members = &memberChange{removeID: wanted.members.removeID}
	return wanted
}
