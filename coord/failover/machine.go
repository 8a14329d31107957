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

// pendingAnswer is an answer that waits until the record of its generation has been synced.
type pendingAnswer struct {
	generation uint64
	finish     func() effect
}

// machine is the reducer of one member: step takes the time and an input, and returns effects. Time is monotonic and
// counts from any moment. It is not safe for concurrent use.
type machine struct {
	config         machineConfig
	record         Record // may be ahead of the disk
	generation     uint64 // of the record
	saved          savePoint
	pendingAnswers []pendingAnswer
	effects        []effect

	ackAfter        time.Duration    // no acknowledgement before; only for a disk that was empty
	grant           grant            // the newest
	restartCampaign *restartCampaign // nil where the record names another leader, or none
	campaignAt      time.Duration    // of the next campaign
	highestEpoch    uint64           // seen in replies; not a promise
	campaign        *campaign
	leadership      *leadership

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
	created.scheduleCampaign(now, created.electionJitter())
	if kind == startRestarted {
		created.startRestartCampaign(now)
		created.saved = savePoint{votedEpoch: record.VotedEpoch, votedFor: record.VotedFor, version: record.Version}
	} else {
		created.saveRecord()
	}
	return created, created.takeEffects()
}

// step takes one input.
func (machine *machine) step(now time.Duration, event input) []effect {
	votedBefore, versionBefore := machine.record.VotedEpoch, machine.record.Version
	machine.stepDownIfLeaseExpired(now)
	switch event := event.(type) {
	case tick:
		machine.handleTick(now)
	case voteCall:
		machine.handleVoteRequest(now, event)
	case voteResult:
		machine.handleVoteResult(now, event)
	case replicateCall:
		machine.handleReplicateRequest(now, event)
	case replicateResult:
		machine.handleReplicateResult(now, event)
	case propose:
		machine.handlePropose(now, event)
	case read:
		machine.handleRead(now, event)
	case abandon:
		machine.handleAbandon(event)
	case resign:
		machine.handleResign(now)
	case persisted:
		machine.handlePersisted(now, event.point)
	default:
		panic(fmt.Sprintf("failover: unknown input %T", event))
	}
	machine.checkInvariants(now, votedBefore, versionBefore)
	return machine.takeEffects()
}

// wakeAt returns when the next tick is due.
func (machine *machine) wakeAt(now time.Duration) time.Duration {
	if machine.leadership != nil {
		return min(machine.leadership.heartbeatAt, machine.leaseExpiry(now))
	}
	if machine.isVoter() {
		return machine.campaignAt
	}
	if now < machine.grant.expiresAt {
		return machine.grant.expiresAt
	}
	return never
}

func (machine *machine) handleTick(now time.Duration) {
	if machine.leadership != nil {
		if now >= machine.leadership.heartbeatAt {
			machine.broadcastHeartbeat(now)
		}
		return
	}
	if machine.isVoter() && now >= machine.campaignAt {
		machine.startCampaign(now)
	}
}

// handlePersisted counts what has been synced.
func (machine *machine) handlePersisted(now time.Duration, point savePoint) {
	if point.generation <= machine.saved.generation {
		return
	}
	machine.saved = point
	remaining := machine.pendingAnswers[:0]
	for _, answer := range machine.pendingAnswers {
		if answer.generation > point.generation {
			remaining = append(remaining, answer)
			continue
		}
		machine.emit(answer.finish())
	}
	clear(machine.pendingAnswers[len(remaining):])
	machine.pendingAnswers = remaining
	machine.countOwnVote(now)
	machine.advanceCommit(now)
	machine.leaveJoint(now)
}

// saveRecord must follow every change of the record: it asks for a save.
func (machine *machine) saveRecord() {
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
	machine.pendingAnswers = append(machine.pendingAnswers, pendingAnswer{generation: machine.generation, finish: finish})
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
	case now < machine.grant.expiresAt:
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

func (machine *machine) electionJitter() time.Duration {
	return time.Duration(machine.config.random(int64(machine.config.timing.ElectionJitter)))
}

func (machine *machine) emit(requested effect) { machine.effects = append(machine.effects, requested) }

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
	case machine.campaign != nil && now < machine.grant.expiresAt:
		panic("failover: a candidate has granted a lease to another member")
	}
}
