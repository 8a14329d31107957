package failover

import (
	"fmt"
	"time"
)

// never is a moment that does not come.
const never = time.Duration(1<<63 - 1)

// machineConfig is what a machine is told at its start.
type machineConfig struct {
	address     string // of this member
	incarnation uint64 // of this process, drawn at its start
	timing      Timing
	queueLimit  int                     // proposals that may wait
	random      func(below int64) int64 // uniform in [0, below)
}

// savePoint tells what a save covers.
type savePoint struct {
	generation uint64 // rises with every change of the record
	votedEpoch uint64
	votedFor   string
	version    Version
}

// waitingAnswer is an answer that waits until the record of its generation has been synced.
type waitingAnswer struct {
	generation uint64
	finish     func() effect
}

// machine is the reducer of one member: step takes the time and an input, and returns effects. Time is monotonic and
// counts from any moment. It is not safe for concurrent use.
type machine struct {
	config     machineConfig
	record     Record // may be ahead of the disk
	generation uint64 // of the record
	saved      savePoint
	waiting    []waitingAnswer
	effects    []effect

	ackAfter     time.Duration // no acknowledgement before; only for a disk that was empty
	grant        grant         // the newest
	formerTerm   *formerTerm   // nil where the record names another leader, or none
	electionAt   time.Duration // of the next campaign
	highestEpoch uint64        // seen in replies; not a promise
	campaign     *campaign
	leadership   *leadership

	committedVersion  Version
	committedContents Contents
}

// startKind tells how a member came to its record.
type startKind int

const (
	startRestarted startKind = iota // the record was on disk
	startBootstrap                  // the disk was empty at the first start of the whole group
	startJoining                    // the disk was empty, and the group exists already
)

// newMachine returns a machine and its first effects. A record that was not on disk is saved first.
func newMachine(config machineConfig, record Record, kind startKind, now time.Duration) (*machine, []effect) {
	config.timing = config.timing.withDefaults()
	created := &machine{config: config, record: record}
	if kind == startJoining {
		created.ackAfter = now + config.timing.LongestLease
	}
	created.assumeGrant(now, kind)
	created.planElection(now, created.spread())
	if kind == startRestarted {
		created.startFormerTerm(now)
		created.saved = savePoint{votedEpoch: record.VotedEpoch, votedFor: record.VotedFor, version: record.Version}
	} else {
		created.changeRecord()
	}
	return created, created.takeEffects()
}

// step takes one input.
func (machine *machine) step(now time.Duration, taken input) []effect {
	votedBefore, versionBefore := machine.record.VotedEpoch, machine.record.Version
	machine.endLostLeadership(now)
	switch taken := taken.(type) {
	case tick:
		machine.handleTick(now)
	case voteCall:
		machine.handleVote(now, taken)
	case voteResult:
		machine.handleVoteResult(now, taken)
	case replicateCall:
		machine.handleReplicate(now, taken)
	case replicateResult:
		machine.handleReplicateResult(now, taken)
	case propose:
		machine.handlePropose(now, taken)
	case read:
		machine.handleRead(now, taken)
	case abandon:
		machine.handleAbandon(taken)
	case resign:
		machine.handleResign(now)
	case persisted:
		machine.handlePersisted(now, taken.point)
	default:
		panic(fmt.Sprintf("failover: unknown input %T", taken))
	}
	machine.checkInvariants(now, votedBefore, versionBefore)
	return machine.takeEffects()
}

// wakeAt returns when the next tick is due.
func (machine *machine) wakeAt(now time.Duration) time.Duration {
	if machine.leadership != nil {
		return min(machine.leadership.heartbeatAt, machine.leaseEnds(now))
	}
	if machine.isVoter() {
		return machine.electionAt
	}
	if now < machine.grant.ends {
		return machine.grant.ends
	}
	return never
}

func (machine *machine) handleTick(now time.Duration) {
	if machine.leadership != nil {
		if now >= machine.leadership.heartbeatAt {
			machine.broadcast(now)
		}
		return
	}
	if machine.isVoter() && now >= machine.electionAt {
		machine.startCampaign(now)
	}
}

// handlePersisted counts what has been synced.
func (machine *machine) handlePersisted(now time.Duration, point savePoint) {
	if point.generation <= machine.saved.generation {
		return
	}
	machine.saved = point
	remaining := machine.waiting[:0]
	for _, answer := range machine.waiting {
		if answer.generation > point.generation {
			remaining = append(remaining, answer)
			continue
		}
		machine.emit(answer.finish())
	}
	clear(machine.waiting[len(remaining):])
	machine.waiting = remaining
	machine.countOwnVote(now)
	machine.advanceCommit(now)
	machine.settleMembers(now)
}

// changeRecord must follow every change of the record: it asks for a save.
func (machine *machine) changeRecord() {
	machine.generation++
	point := savePoint{
		generation: machine.generation,
		votedEpoch: machine.record.VotedEpoch,
		votedFor:   machine.record.VotedFor,
		version:    machine.record.Version,
	}
	machine.emit(persist{point: point, record: machine.record})
}

// answerOnceSaved emits an answer when the record as it stands has been synced.
func (machine *machine) answerOnceSaved(finish func() effect) {
	if machine.saved.generation >= machine.generation {
		machine.emit(finish())
		return
	}
	machine.waiting = append(machine.waiting, waitingAnswer{generation: machine.generation, finish: finish})
}

// isVoter reports whether this member is in a list that it holds.
func (machine *machine) isVoter() bool {
	return machine.record.Contents.hasVoter(machine.record.Identity)
}

// leaderAddress returns the address of the leader that this member follows, or its own where it serves, or nothing.
func (machine *machine) leaderAddress(now time.Duration) string {
	switch {
	case machine.leadership != nil && machine.leadership.isServing:
		return machine.config.address
	case now < machine.grant.ends:
		return machine.grant.address
	}
	return ""
}

// setCommitted takes a version that is known to be committed.
func (machine *machine) setCommitted(version Version, contents Contents) {
	if !machine.committedVersion.Less(version) {
		return
	}
	machine.committedVersion = version
	machine.committedContents = contents
	machine.emit(committed{version: version, contents: contents})
}

func (machine *machine) spread() time.Duration {
	return time.Duration(machine.config.random(int64(machine.config.timing.ElectionJitter)))
}

func (machine *machine) emit(wanted effect) { machine.effects = append(machine.effects, wanted) }

func (machine *machine) takeEffects() []effect {
	taken := machine.effects
	machine.effects = nil
	return taken
}

// checkInvariants panics where a promise would be broken, since going on could lose what was acknowledged.
func (machine *machine) checkInvariants(now time.Duration, votedBefore uint64, versionBefore Version) {
	switch {
	case machine.record.VotedEpoch < votedBefore:
		panic("failover: the voted epoch went back")
	case machine.record.Version.Less(versionBefore):
		panic("failover: the version went back")
	case machine.record.Version.Epoch > machine.record.VotedEpoch:
		panic("failover: a version is newer than the voted epoch")
	case machine.record.Version.Less(machine.committedVersion):
		panic("failover: a committed version is missing")
	case machine.leadership != nil && machine.leadership.epoch != machine.record.VotedEpoch:
		panic("failover: the leader accepted another epoch")
	case machine.leadership != nil && machine.campaign != nil:
		panic("failover: the leader is a candidate")
	case machine.campaign != nil && now < machine.grant.ends:
		panic("failover: a candidate has granted a lease to another member")
	}
}
