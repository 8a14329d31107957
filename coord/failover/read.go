package failover

import "time"

// A read ends once a majority has answered a round of heartbeats that began after the read came. Each of them has then
// voted for no newer leader since, so no newer leader was elected before the read came, and the committed state of this
// one holds all that was acknowledged by then. This rests on no clock; the lease is a second guard.
//
// A proposal that makes no new version, because it is refused or changes nothing, ends in the same way: what it was
// compared with was the newest state when it came.

// waitingRead is a read, or a proposal without a new version, that waits for answers to a round or a later one.
type waitingRead struct {
	number  uint64 // of the read or proposal
	round   uint64
	outcome error // told once the round is answered
	isRead  bool
}

// ended is the effect that tells of the end.
func (waiting waitingRead) ended(err error) effect {
	if waiting.isRead {
		return readDone{read: waiting.number, err: err}
	}
	return proposalDone{proposal: waiting.number, err: err}
}

// handleRead has a read wait for its round.
func (machine *machine) handleRead(now time.Duration, wanted read) {
	lead := machine.leadership
	if lead == nil || !lead.isServing {
		err := NotLeaderError{LeaderAddress: machine.leaderAddress(now)}
		machine.emit(readDone{read: wanted.read, err: err})
		return
	}
	if len(lead.reads) >= machine.config.queueLimit {
		machine.emit(readDone{read: wanted.read, err: OverloadedError{Limit: machine.config.queueLimit}})
		return
	}
	machine.awaitRound(now, waitingRead{number: wanted.read, isRead: true})
}

// awaitRound begins a round, unless one is under way for an earlier read: the next one begins when that ends.
func (machine *machine) awaitRound(now time.Duration, waiting waitingRead) {
	lead := machine.leadership
	waiting.round = lead.round + 1
	lead.reads = append(lead.reads, waiting)
	if len(lead.reads) == 1 {
		machine.broadcast(now)
		machine.finishReads(now)
	}
}

// finishReads ends the reads whose round a majority has answered, and begins the round that the next ones wait for.
func (machine *machine) finishReads(now time.Duration) {
	lead := machine.leadership
	finished := 0
	for finished < len(lead.reads) && machine.isRoundAnswered(lead.reads[finished].round) {
		machine.emit(lead.reads[finished].ended(lead.reads[finished].outcome))
		finished++
	}
	if finished == 0 {
		return
	}
	lead.reads = lead.reads[finished:]
	if len(lead.reads) > 0 && lead.reads[0].round > lead.round {
		machine.broadcast(now)
		machine.finishReads(now)
	}
}

// isRoundAnswered reports whether a majority has answered a heartbeat of a round or of a later one.
func (machine *machine) isRoundAnswered(round uint64) bool {
	if round > machine.leadership.round {
		return false
	}
	return machine.record.Contents.isQuorum(func(identity string) bool {
		if identity == machine.record.Identity {
			return true
		}
		known := machine.leadership.peers[identity]
		return known != nil && known.answeredRound >= round
	})
}

// abandonRead forgets a read that nobody waits for any longer.
func (machine *machine) abandonRead(abandoned abandon) bool {
	lead := machine.leadership
	for position, waiting := range lead.reads {
		if waiting.number != abandoned.proposal {
			continue
		}
		lead.reads = append(lead.reads[:position:position], lead.reads[position+1:]...)
		machine.emit(waiting.ended(abandoned.cause))
		return true
	}
	return false
}
