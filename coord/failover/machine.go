package failover

import (
	"fmt"
	"time"
)

// never is a time that is never reached.
const never = time.Duration(1<<63 - 1)

// machineConfig configures a machine.
type machineConfig struct {
	address     string // address of this member
	incarnation uint64 // random number of this process, drawn at its start
	timing      Timing
	queueLimit  int                     // maximum number of queued proposals, and of pending reads
	random      func(below int64) int64 // returns a uniform number in [0, below)
}

// savePoint describes what a save of the record covers.
type savePoint struct {
	generation uint64 // increases with every change of the record
	votedEpoch uint64
	votedFor   string
	version    Version
}

// pendingAnswer is an answer that must not be sent before the record of its generation has been synced.
type pendingAnswer struct {
	generation uint64
	finish     func() effect
}

// machine is the protocol state machine of one member: step takes the current time and an input, and returns the effects
// to execute. Times are monotonic and have an arbitrary origin. A machine is not safe for concurrent use.
type machine struct {
	config         machineConfig
	record         Record          // may be newer than the record on disk
	generation     uint64          // generation of record
	saved          savePoint       // newest save that was synced
	pendingAnswers []pendingAnswer // in order of generation
	effects        []effect

	ackAfter        time.Duration    // no heartbeat is acknowledged earlier; set if the disk was empty and the group exists
	grant           grant            // newest lease granted to a leader
	restartCampaign *restartCampaign // nil unless the record on disk named this member itself
	campaignAt      time.Duration    // start of the next campaign
	highestEpoch    uint64           // newest epoch seen in replies; unlike VotedEpoch it does not restrict votes
	campaign        *campaign        // nil unless this member is a candidate
	leadership      *leadership      // nil unless this member was elected

	committedVersion  Version // zero if no committed version is known
	committedContents Contents
}

// startKind tells where the initial record of a member comes from.
type startKind int

const (
	startRestarted startKind = iota // the record was on disk
	startBootstrap                  // the disk was empty, and the whole group starts for the first time
	startJoining                    // the disk was empty, and the group exists already
)

// newMachine returns a machine and its first effects. A record that wasn't loaded from disk is saved first.
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

// step handles one input and returns the resulting effects. It panics if an invariant of the protocol is violated.
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

// wakeAt returns the time at which the next tick is due.
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

// handlePersisted processes a completed save: it sends the answers that waited for it and counts this member's own sync.
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

// saveRecord requests a save of the record. It must be called after every change of the record.
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

// answerOnceSaved emits an answer as soon as the current record has been synced.
func (machine *machine) answerOnceSaved(finish func() effect) {
	if machine.saved.generation >= machine.generation {
		machine.emit(finish())
		return
	}
	machine.pendingAnswers = append(machine.pendingAnswers, pendingAnswer{generation: machine.generation, finish: finish})
}

// isVoter reports whether this member is in one of the lists of voters in its record.
func (machine *machine) isVoter() bool {
	return machine.record.Contents.hasVoter(machine.record.Identity)
}

// leaderAddress returns the address of the leader that this member follows, its own address if it serves as the leader,
// or an empty string if no leader is known.
func (machine *machine) leaderAddress(now time.Duration) string {
	switch {
	case machine.leadership != nil && machine.leadership.isServing:
		return machine.config.address
	case now < machine.grant.expiresAt:
		return machine.grant.address
	}
	return ""
}

// setCommitted records a version that is known to be committed, unless a newer one is known already.
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

// checkInvariants panics if a safety rule is violated, because continuing could lose acknowledged state.
func (machine *machine) checkInvariants(now time.Duration, votedBefore uint64, versionBefore Version) {
	switch {
	case machine.record.VotedEpoch < votedBefore:
		panic("failover: the voted epoch decreased")
	case machine.record.Version.Less(versionBefore):
		panic("failover: the version decreased")
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
