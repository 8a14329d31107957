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
	exchangeMembers  = 4 // three voters and the one that joins
	exchangeVictim   = 2 // position of the voter that is exchanged
	exchangeNewcomer = 3
	exchangeMost     = 4 * time.Second
)

// strike is what happens in the middle of an exchange.
type strike int

const (
	strikeWipe          strike = iota // one member loses its disk
	strikeWipeAndPower                // one member loses its disk, and all others lose power at the same moment
	strikePower                       // all lose power
	strikeGoneForGood                 // one member never comes back
	strikeGoneAndReturn               // one member never comes back, and the voter that is exchanged was cut off before and returns
)

var strikeNames = map[strike]string{
	strikeWipe: "disk lost", strikeWipeAndPower: "disk lost, others lose power", strikePower: "all lose power",
	strikeGoneForGood: "gone for good", strikeGoneAndReturn: "gone for good while the exchanged one was cut off",
}

// settledWorld is a group of three voters that has a leader and has acknowledged a proposal, and a fourth process.
func settledWorld(t *testing.T, seed uint64, altered mutation) *world {
	simulated := newWorld(seed, exchangeMembers, altered)
	for limit := 0; len(simulated.checker.succeeded) == 0; limit++ {
		must.Less(t, 1000, limit)
		simulated.run(simulated.now + 10*time.Millisecond)
		simulated.proposeAtLeader()
	}
	simulated.run(simulated.now + 3*time.Second) // the fourth one acknowledges by now
	return simulated
}

// proposeAtLeader proposes where a process leads, and returns it.
func (world *world) proposeAtLeader() *process {
	for _, leader := range world.processes {
		if leader.frozen || !leader.isLeading() {
			continue
		}
		world.lastCall++
		name := fmt.Sprintf("p%d", world.lastCall)
		world.checker.names[world.lastCall] = name
		leader.step(propose{proposal: world.lastCall, change: func(old []byte) ([]byte, error) {
			return append(append([]byte{}, old...), name+","...), nil
		}})
		return leader
	}
	return nil
}

// beginExchange exchanges the third voter for the newcomer at the leader.
func (world *world) beginExchange() {
	removed, added := world.processes[exchangeVictim], world.processes[exchangeNewcomer]
	change := memberChange{add: &Member{ID: added.identity, Address: added.address}, removeID: removed.identity}
	for _, leader := range world.processes {
		if leader.isLeading() {
			world.lastCall++
			leader.step(propose{proposal: world.lastCall, members: &change})
		}
	}
}

// hasExchanged reports whether the new list stands alone.
func (world *world) hasExchanged() bool {
	contents := world.checker.newest.contents
	return !contents.isJoint() && hasMember(contents.Members, world.processes[exchangeNewcomer].identity)
}

// runSteps lets so many steps of members happen, or as many as come until a moment.
func (world *world) runSteps(steps int, until time.Duration) bool {
	for last := world.steps + steps; world.steps < last; {
		if len(world.events) == 0 || world.events[0].at > until || world.checker.violation != "" {
			return false
		}
		world.run(world.events[0].at)
	}
	return true
}

// strikeAt strikes a member. Those that lose power come back; one that is gone for good does not.
func (world *world) strikeAt(kind strike, position int) {
	struck := world.processes[position]
	switch kind {
	case strikeWipe:
		world.wipe(struck)
	case strikeWipeAndPower:
		for _, other := range world.processes {
			if other != struck {
				world.kill(other)
			}
		}
		world.wipe(struck)
	case strikePower:
		for _, process := range world.processes {
			world.kill(process)
		}
	case strikeGoneForGood, strikeGoneAndReturn:
		struck.stop()
	}
}

// wipe ends a process and has it come back with an empty disk.
func (world *world) wipe(struck *process) {
	world.kill(struck)
	struck.disk = nil
	struck.diskLosses++
	struck.identity = ""
}

// playExchange strikes a member so many steps after an exchange began. It reports whether the exchange went on for that
// long, and what was violated.
func playExchange(t *testing.T, altered mutation, kind strike, position, after int) (wentOn bool, violation string) {
	simulated := settledWorld(t, uint64(position), altered)
	victim := simulated.processes[exchangeVictim]
	if kind == strikeGoneAndReturn {
		simulated.cutOff(victim)
		simulated.run(simulated.now + 3*time.Second) // if it led, another one does now
	}
	simulated.beginExchange()
	if !simulated.runSteps(after, simulated.now+exchangeMost) || simulated.hasExchanged() {
		return false, simulated.checker.violation
	}
	simulated.strikeAt(kind, position)
	simulated.heal()
	before := len(simulated.checker.succeeded)
	simulated.repeat(50*time.Millisecond, 100*time.Millisecond, func() { simulated.proposeAtLeader() })
	simulated.run(simulated.now + 12*time.Second)
	if len(simulated.checker.succeeded) == before {
		simulated.checker.violate("nothing was committed after the loss")
	}
	simulated.checker.checkEnd()
	return true, simulated.checker.violation
}

// exchangeMoments plays an exchange with a strike after each of its steps, and returns the number of moments and the
// first violation.
func exchangeMoments(t *testing.T, altered mutation) (moments int, violation string) {
	for kind := strikeWipe; kind <= strikeGoneAndReturn; kind++ {
		for position := range exchangeMembers {
			if kind == strikeGoneAndReturn && position == exchangeVictim {
				continue
			}
			for after := 1; ; after++ {
				wentOn, violation := playExchange(t, altered, kind, position, after)
				if violation != "" {
					return moments, fmt.Sprintf("%s: member %d, after %d steps: %s", strikeNames[kind], position, after, violation)
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
	moments, violation := exchangeMoments(t, mutation{})
	must.EqOp(t, "", violation)
	t.Logf("%d moments", moments)
	must.Greater(t, 100, moments)
}

// TestExchangeInTwoStepsIsCaught shows that the moments above notice an exchange that removes a voter first.
func TestExchangeInTwoStepsIsCaught(t *testing.T) {
	_, violation := exchangeMoments(t, mutation{beforeStep: removeFirst})
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
	world := process.world
	world.after(20*time.Millisecond, process.atIncarnation(func() {
		process.step(propose{proposal: 0, members: &memberChange{add: &added}})
	}))
	wanted.members = &memberChange{removeID: wanted.members.removeID}
	return wanted
}
