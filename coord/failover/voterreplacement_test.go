package failover

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The tests of this file exchange a voter that lives for a process that joins, and strike between any two steps of any
// member, with each member in turn.

const (
	replacementProcesses = 4 // three voters and the one that joins
	replacedPosition     = 2 // position of the voter that is exchanged
	joiningPosition      = 3
	replacementTimeout   = 4 * time.Second
)

// strike is what happens in the middle of an exchange.
type faultKind int

const (
	faultDiskLoss               faultKind = iota // one member loses its disk
	faultDiskAndPowerLoss                        // one member loses its disk, and all others lose power at the same moment
	faultPowerLoss                               // all lose power
	faultPermanentStop                           // one member never comes back
	faultPermanentStopAndReturn                  // one member never comes back, and the voter that is exchanged was cut off before and returns
)

var faultNames = map[faultKind]string{
	faultDiskLoss: "disk lost", faultDiskAndPowerLoss: "disk lost, others lose power", faultPowerLoss: "all lose power",
	faultPermanentStop: "gone for good", faultPermanentStopAndReturn: "gone for good while the exchanged one was cut off",
}

// newSettledSimulator is a group of three voters that has a leader and has acknowledged a proposal, and a fourth process.
func newSettledSimulator(t *testing.T, seed uint64, altered mutation) *simulator {
	sim := newSimulator(seed, replacementProcesses, altered)
	for limit := 0; len(sim.checker.succeeded) == 0; limit++ {
		must.Less(t, 1000, limit)
		sim.run(sim.now + 10*time.Millisecond)
		sim.proposeAtLeader()
	}
	sim.run(sim.now + 3*time.Second) // the fourth one acknowledges by now
	return sim
}

// proposeAtLeader proposes where a process leads, and returns it.
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

// beginReplacement exchanges the third voter for the newcomer at the leader.
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

// hasReplaced reports whether the new list stands alone.
func (simulator *simulator) isReplaced() bool {
	contents := simulator.checker.newest.contents
	return !contents.isJoint() && hasMember(contents.Members, simulator.processes[joiningPosition].identity)
}

// runSteps lets so many steps of members happen, or as many as come until a moment.
func (simulator *simulator) runSteps(steps int, until time.Duration) bool {
	for last := simulator.steps + steps; simulator.steps < last; {
		if len(simulator.events) == 0 || simulator.events[0].at > until || simulator.checker.violation != "" {
			return false
		}
		simulator.run(simulator.events[0].at)
	}
	return true
}

// injectFault strikes a member. Those that lose power come back; one that is gone for good does not.
func (simulator *simulator) injectFault(kind faultKind, position int) {
	struck := simulator.processes[position]
	switch kind {
	case faultDiskLoss:
		simulator.restartWithEmptyDisk(struck)
	case faultDiskAndPowerLoss:
		for _, other := range simulator.processes {
			if other != struck {
				simulator.kill(other)
			}
		}
		simulator.restartWithEmptyDisk(struck)
	case faultPowerLoss:
		for _, process := range simulator.processes {
			simulator.kill(process)
		}
	case faultPermanentStop, faultPermanentStopAndReturn:
		struck.stop()
	}
}

// wipe ends a process and has it come back with an empty disk.
func (simulator *simulator) restartWithEmptyDisk(struck *process) {
	simulator.kill(struck)
	struck.disk = nil
	struck.diskLosses++
	struck.identity = ""
}

// runReplacement strikes a member so many steps after an exchange began. It reports whether the exchange went on for that
// long, and what was violated.
func runReplacement(t *testing.T, altered mutation, kind faultKind, position, after int) (wentOn bool, violation string) {
	sim := newSettledSimulator(t, uint64(position), altered)
	victim := sim.processes[replacedPosition]
	if kind == faultPermanentStopAndReturn {
		sim.isolate(victim)
		sim.run(sim.now + 3*time.Second) // if it led, another one does now
	}
	sim.beginReplacement()
	if !sim.runSteps(after, sim.now+replacementTimeout) || sim.isReplaced() {
		return false, sim.checker.violation
	}
	sim.injectFault(kind, position)
	sim.heal()
	before := len(sim.checker.succeeded)
	sim.repeat(50*time.Millisecond, 100*time.Millisecond, func() { sim.proposeAtLeader() })
	sim.run(sim.now + 12*time.Second)
	if len(sim.checker.succeeded) == before {
		sim.checker.violate("nothing was committed after the loss")
	}
	sim.checker.checkEnd()
	return true, sim.checker.violation
}

// runReplacements plays an exchange with a strike after each of its steps, and returns the number of moments and the
// first violation.
func runReplacements(t *testing.T, altered mutation) (moments int, violation string) {
	for kind := faultDiskLoss; kind <= faultPermanentStopAndReturn; kind++ {
		for position := range replacementProcesses {
			if kind == faultPermanentStopAndReturn && position == replacedPosition {
				continue
			}
			for after := 1; ; after++ {
				wentOn, violation := runReplacement(t, altered, kind, position, after)
				if violation != "" {
					return moments, fmt.Sprintf("%s: member %d, after %d steps: %s", faultNames[kind], position, after, violation)
				}
				if !wentOn {
					break
				}
				moments++
			}
		}
	}
	return moments, ""
}

// TestExchangeBearsALossAtEachMoment loses each member in turn at each moment of an exchange. The group goes on, and
// nothing that was acknowledged is lost.
func TestExchangeBearsALossAtEachMoment(t *testing.T) {
	moments, violation := runReplacements(t, mutation{})
	must.EqOp(t, "", violation)
	t.Logf("%d moments", moments)
	must.Greater(t, 100, moments)
}

// TestExchangeInTwoStepsIsCaught shows that the moments above notice an exchange that removes a voter first.
func TestExchangeInTwoStepsIsCaught(t *testing.T) {
	_, violation := runReplacements(t, mutation{beforeStep: removeFirst})
	must.NotEqOp(t, "", violation)
	t.Log(violation)
}

// removeFirst begins an exchange by removing the old voter, and adds the new one once that is committed.
func removeFirst(process *process, taken input) input {
	wanted, isProposal := taken.(propose)
	if !isProposal || wanted.members == nil || wanted.members.add == nil || wanted.members.removeID == "" {
		return taken
	}
	added := *wanted.members.add
	simulator := process.simulator
	simulator.schedule(20*time.Millisecond, process.atIncarnation(func() {
		process.step(propose{proposal: 0, members: &memberChange{add: &added}})
	}))
	wanted.members = &memberChange{removeID: wanted.members.removeID}
	return wanted
}
