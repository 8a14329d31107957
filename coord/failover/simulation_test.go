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
	troubledTime = 40 * time.Second
	calmTime     = 15 * time.Second
)

// walkSeeds can be raised for a long search.
var walkSeeds = flag.Uint64("walks", 60, "random walks of each kind")

// walk plays one seed: trouble, then calm, in which the group must come back.
func walk(seed uint64, members int, mutation mutation) *world {
	return walkTroubledBy(seed, members, mutation, (*world).causeMixedTrouble)
}

// walkTroubledBy is walk with trouble of one kind.
func walkTroubledBy(seed uint64, members int, mutation mutation, begin func(*world)) *world {
	simulated := newWorld(seed, members, mutation)
	simulated.repeat(20*time.Millisecond, 120*time.Millisecond, simulated.proposeSomewhere)
	simulated.repeat(500*time.Millisecond, 4*time.Second, func() { simulated.isQuiet = !simulated.isQuiet })
	simulated.repeat(200*time.Millisecond, 400*time.Millisecond, simulated.exchangeMembers)
	simulated.repeat(10*time.Millisecond, 200*time.Millisecond, simulated.readSomewhere)
	begin(simulated)
	simulated.run(troubledTime)
	simulated.heal()
	before := len(simulated.checker.succeeded)
	simulated.run(troubledTime + calmTime)
	simulated.checker.checkEnd()
	if len(simulated.checker.succeeded) == before {
		simulated.checker.violate("nothing was committed after the trouble")
	}
	simulated.checkMembersAreCurrent()
	return simulated
}

// repeat lets something happen again and again, with random pauses.
func (world *world) repeat(from, below time.Duration, happen func()) {
	world.after(world.duration(from, below), func() {
		happen()
		world.repeat(from, below, happen)
	})
}

// proposeSomewhere proposes mostly at a leader, and now and then gives the proposal up early.
func (world *world) proposeSomewhere() {
	if world.isQuiet && world.now < troubledTime {
		return
	}
	target := world.processes[world.random.IntN(len(world.processes))]
	for _, process := range world.processes {
		if process.isLeading() && world.chance(0.8) {
			target = process
		}
	}
	if target.machine == nil || target.frozen {
		return
	}
	world.lastCall++
	proposal := world.lastCall
	name := fmt.Sprintf("p%d", proposal)
	world.checker.names[proposal] = name
	change := func(old []byte) ([]byte, error) { return append(slices.Clone(old), name+","...), nil }
	target.step(propose{proposal: proposal, change: change})
	if world.chance(0.1) && target.machine != nil {
		target.step(abandon{proposal: proposal, cause: fmt.Errorf("given up")})
	}
}

// readSomewhere reads at every process that believes to lead.
func (world *world) readSomewhere() {
	for _, process := range world.processes {
		if process.machine != nil && !process.frozen && process.machine.leadership != nil {
			process.read()
		}
	}
}

// exchangeMembers does what the owner of the group does: at the leader, it removes identities that are gone for good
// and adds processes that are not members.
func (world *world) exchangeMembers() {
	for _, leader := range world.processes {
		if leader.frozen || !leader.isLeading() {
			continue
		}
		if change, isWanted := world.wantedChange(leader.machine.record.Contents.Members); isWanted {
			world.lastCall++
			proposal := world.lastCall
			leader.step(propose{proposal: proposal, members: &change})
			world.after(changeTimeout, leader.atIncarnation(func() {
				leader.step(abandon{proposal: proposal, cause: errTakesLong})
			}))
		}
	}
}

// changeTimeout is after how long a change of members is given up.
const changeTimeout = 2500 * time.Millisecond

var errTakesLong = errors.New("takes long")

func (world *world) wantedChange(members []Member) (memberChange, bool) {
	if world.mutation.swaps {
		return world.wantedSwap(members)
	}
	for _, process := range world.processes {
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

// wantedSwap exchanges a voter for a process that is none: one that is gone for good, else any.
func (world *world) wantedSwap(members []Member) (memberChange, bool) {
	for _, process := range world.processes {
		if process.identity == "" || hasMember(members, process.identity) {
			continue
		}
		removed := members[world.random.IntN(len(members))]
		for _, member := range members {
			if world.find(member.Address).identity != member.ID {
				removed = member
			}
		}
		return memberChange{add: &Member{ID: process.identity, Address: process.address}, removeID: removed.ID}, true
	}
	return memberChange{}, false
}

// causeMixedTrouble begins random faults until the calm.
func (world *world) causeMixedTrouble() {
	world.repeat(100*time.Millisecond, 1200*time.Millisecond, func() {
		if world.now < troubledTime {
			world.causeTrouble()
		}
	})
}

// causeTrouble begins one random fault.
func (world *world) causeTrouble() {
	world.faults++
	troubled := world.processes[world.random.IntN(len(world.processes))]
	for _, process := range world.processes {
		if process.isLeading() && world.chance(0.3) {
			troubled = process
		}
	}
	switch world.random.IntN(14) {
	case 0, 1:
		world.kill(troubled)
	case 2:
		for _, process := range world.processes {
			world.kill(process)
		}
	case 3, 4:
		world.freeze(troubled)
	case 5:
		world.cutRandomLinks()
	case 6:
		world.cutOff(troubled)
	case 7, 8:
		clear(world.cuts)
		world.lossRate = 0
	case 9:
		world.lossRate = world.random.Float64() / 3
	case 10:
		troubled.slowDisk = !troubled.slowDisk
		if troubled.machine != nil && !troubled.frozen {
			troubled.step(resign{})
		}
	case 11:
		world.loseDisk(troubled)
	case 12, 13:
		world.cutBetween(troubled)
	}
}

// kill ends a process and starts it again with its disk.
func (world *world) kill(killed *process) {
	if killed.machine == nil {
		return
	}
	killed.stop()
	incarnation := killed.incarnation
	world.after(world.restartDelay(), func() {
		if killed.incarnation == incarnation {
			killed.start(false)
		}
	})
}

func (world *world) restartDelay() time.Duration {
	if world.chance(0.5) {
		return world.duration(10*time.Millisecond, 200*time.Millisecond)
	}
	return world.duration(200*time.Millisecond, 3*time.Second)
}

func (world *world) freeze(troubled *process) {
	if troubled.machine == nil || troubled.frozen {
		return
	}
	troubled.frozen = true
	incarnation := troubled.incarnation
	world.after(world.duration(100*time.Millisecond, 3*time.Second), func() {
		if troubled.incarnation == incarnation {
			troubled.thaw()
		}
	})
}

// cutRandomLinks cuts single directions.
func (world *world) cutRandomLinks() {
	for _, from := range world.processes {
		for _, to := range world.processes {
			if from != to && world.chance(0.3) {
				world.cuts[link{from.address, to.address}] = true
			}
		}
	}
}

func (world *world) cutOff(troubled *process) {
	for _, other := range world.processes {
		if other != troubled {
			world.cuts[link{troubled.address, other.address}] = true
			world.cuts[link{other.address, troubled.address}] = true
		}
	}
}

// cutBetween cuts a process off from one other, and may kill the third, which comes back soon.
func (world *world) cutBetween(troubled *process) {
	position := slices.Index(world.processes, troubled)
	other := world.processes[(position+1)%len(world.processes)]
	third := world.processes[(position+2)%len(world.processes)]
	world.cuts[link{troubled.address, other.address}] = true
	world.cuts[link{other.address, troubled.address}] = true
	if world.chance(0.5) {
		world.after(world.duration(0, 1200*time.Millisecond), func() { world.kill(third) })
	}
}

// loseDisk loses one disk at a time: only where all other voters, of the newest list and of those that are not committed yet,
// are the processes that are there. A disk that replaces a lost one may be lost again at any time.
func (world *world) loseDisk(troubled *process) {
	if !world.areOthersCurrent(world.checker.newest.contents, troubled) {
		return
	}
	for _, process := range world.processes {
		held := process.heldRecord()
		if !held.Version.Less(world.checker.newest.version) && !world.areOthersCurrent(held.Contents, troubled) {
			return
		}
	}
	world.kill(troubled)
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
func (world *world) areOthersCurrent(contents Contents, except *process) bool {
	for _, member := range contents.voters() {
		voter := world.find(member.Address)
		if voter != except && voter.identity != member.ID {
			return false
		}
	}
	return true
}

func (world *world) areMembersCurrent() bool {
	members := world.checker.newest.contents.Members
	wanted := len(world.processes)
	if world.mutation.swaps {
		wanted--
	}
	if len(members) != wanted || world.checker.newest.contents.isJoint() && !world.mutation.swaps {
		return false
	}
	for _, member := range members {
		if world.find(member.Address).identity != member.ID {
			return false
		}
	}
	return true
}

// heal ends all trouble; processes that are down come back as planned.
func (world *world) heal() {
	clear(world.cuts)
	world.lossRate = 0
	for _, process := range world.processes {
		process.slowDisk = false
		process.thaw()
	}
}

func (world *world) checkMembersAreCurrent() {
	if !world.areMembersCurrent() {
		world.checker.violate("the members are not those that run: %v", world.checker.newest.contents.Members)
	}
}

// hasty lets candidates begin soon, so that the end of a lease and the next election come close.
var hasty = Timing{ElectionJitter: 20 * time.Millisecond}

func TestWalk(t *testing.T) {
	checkWalks(t, 3, Timing{})
	checkWalks(t, 4, Timing{})
	checkWalks(t, 3, hasty)
}

// TestSwapWalk exchanges voters that live for one another all the time.
func TestSwapWalk(t *testing.T) {
	changes := 0
	for seed := range *walkSeeds {
		simulated := walk(seed, 4, mutation{swaps: true})
		must.EqOp(t, "", simulated.checker.violation, must.Sprintf("seed %d", seed))
		changes += simulated.checker.memberChanges
	}
	t.Logf("%d lists of voters", changes)
	must.Greater(t, int(*walkSeeds), changes)
}

// twoVersions is a group in which every second process runs a version that counts on longer leases.
var twoVersions = []time.Duration{defaultLease, time.Second}

// TestVersionsWithOtherLeasesRunSideBySide has two versions lead in turn, each with its own length of the lease.
func TestVersionsWithOtherLeasesRunSideBySide(t *testing.T) {
	checkAlteredWalks(t, 3, mutation{leases: twoVersions})
	checkAlteredWalks(t, 4, mutation{leases: twoVersions, timing: hasty})
}

// countOwnLease has a follower grant leases of the length of its own version, whatever the leader counts on.
func countOwnLease(process *process, taken input) input {
	if call, ok := taken.(replicateCall); ok {
		call.request.Lease = process.machine.config.timing.Lease
		return call
	}
	return taken
}

func checkWalks(t *testing.T, members int, timing Timing) {
	checkAlteredWalks(t, members, mutation{timing: timing})
}

func checkAlteredWalks(t *testing.T, members int, altered mutation) {
	committed, unknown, losses, reads := 0, 0, 0, 0
	for seed := range *walkSeeds {
		simulated := walk(seed, members, altered)
		must.EqOp(t, "", simulated.checker.violation, must.Sprintf("members %d, seed %d", members, seed))
		committed += len(simulated.checker.succeeded)
		unknown += simulated.checker.unknown
		reads += simulated.readsDone
		for _, process := range simulated.processes {
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
			timing: hasty,
			afterStart: func(process *process) {
				process.machine.grant = grant{}
				process.machine.electionAt = process.clock()
			},
		}},
		{"a witness forgets its grant", mutation{beforeStep: forgetGrant}},
		{"a follower grants a lease of its own version's length", mutation{leases: twoVersions, timing: hasty, beforeStep: countOwnLease}},
		{"the leader ignores the margin", mutation{
			timing: Timing{Margin: time.Nanosecond, ElectionJitter: hasty.ElectionJitter},
		}},
		{"a witness does not compare versions", mutation{beforeStep: pretendNewestVersion}},
		{"votes and acknowledgements do not wait for the sync", mutation{unsynced: true}},
		{"a process without its disk keeps its identity", mutation{keepIdentity: true}},
		{"a version counts once a single member has it", mutation{beforeStep: pretendSynced}},
		{"a read does not wait for its round", mutation{clockDrift: wildDrift, afterStep: endReadsAtOnce}},
		{"voters are exchanged without a joint version", mutation{swaps: true, afterStep: dropOldMembers, afterEffect: withoutOldMembers}},
		{"a learner counts before it holds the contents", mutation{afterStep: countLearnerEarly}},
		{"the new list stands alone before those added hold the joint version", mutation{beforeStep: pretendAddedHold}},
	}
	for _, altered := range cases {
		t.Run(altered.name, func(t *testing.T) {
			const maxSeeds = 300
			for seed := range uint64(maxSeeds) {
				members := 3
				if altered.mutation.swaps {
					members = 4
				}
				trouble := (*world).causeMixedTrouble
				if altered.mutation.clockDrift > 0 {
					trouble = (*world).cutOffLeaders
				}
				violation := walkTroubledBy(seed, members, altered.mutation, trouble).checker.violation
				if violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("not noticed in %d walks", maxSeeds)
		})
	}
}

// wildDrift has the clock of a leader run so slowly that its lease outlasts the election of the next.
const wildDrift = 0.7

// cutOffLeaders cuts the leader off again and again, for long enough for the others to elect another.
func (world *world) cutOffLeaders() {
	world.repeat(time.Second, 4*time.Second, func() {
		clear(world.cuts)
		if world.now >= troubledTime {
			return
		}
		world.faults++
		for _, process := range world.processes {
			if process.isLeading() {
				world.cutOff(process)
			}
		}
	})
}

// TestReadsRestOnNoClock has clocks drift by far more than the margin: there may be two leaders then, but what is read is
// the newest all the same.
func TestReadsRestOnNoClock(t *testing.T) {
	reads := 0
	for seed := range *walkSeeds {
		simulated := walkTroubledBy(seed, 3, mutation{clockDrift: wildDrift}, (*world).cutOffLeaders)
		must.EqOp(t, "", simulated.checker.violation, must.Sprintf("seed %d", seed))
		reads += simulated.readsDone
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
	if lead != nil && lead.change != nil && lead.change.learner != nil {
		lead.change.learner = nil
		process.machine.queueMemberChange(process.clock())
	}
}

func pretendAddedHold(process *process, taken input) input {
	lead := process.machine.leadership
	if lead == nil || !process.machine.record.Contents.isJoint() {
		return taken
	}
	for _, added := range process.machine.record.Contents.added() {
		known := process.machine.peer(added.ID)
		known.isKnown = true
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
	for _, member := range process.machine.audience() {
		process.machine.peer(member.ID).version = process.machine.record.Version
	}
	return taken
}
