package failover

import "time"

// A read completes once a majority has acknowledged a round of heartbeats that started after the read arrived (like
// ReadIndex in Raft). The acknowledgements show that none of these members had voted in a newer epoch by then, so no newer
// leader was elected before the read arrived, and the committed state of this leader includes everything that was
// acknowledged by that time. This doesn't depend on clocks; the lease is a second safeguard.
//
// A proposal that creates no new version, because it is refused or changes nothing, completes in the same way. This
// confirms that the state on which it was evaluated was the newest when the proposal arrived.

// pendingRead is a read, or a proposal without a new version, that waits until its heartbeat round or a later one is
// acknowledged.
type pendingRead struct {
	number uint64 // number of the read or proposal
	round  uint64
	result error // reported once the round is acknowledged
	isRead bool
}

// doneEffect returns the effect that reports the completion.
func (pending pendingRead) doneEffect(err error) effect {
	if pending.isRead {
		return readDone{read: pending.number, err: err}
	}
	return proposalDone{proposal: pending.number, err: err}
}

// handleRead starts a read. It fails at once if this member doesn't serve as the leader or too many reads are pending.
func (machine *machine) handleRead(now time.Duration, requested read) {
	lead := machine.leadership
	if lead == nil || !lead.isServing {
		err := NotLeaderError{LeaderAddress: machine.leaderAddress(now)}
		machine.emit(readDone{read: requested.read, err: err})
		return
	}
	if len(lead.reads) >= machine.config.queueLimit {
		machine.emit(readDone{read: requested.read, err: OverloadedError{Limit: machine.config.queueLimit}})
		return
	}
	machine.awaitRound(now, pendingRead{number: requested.read, isRead: true})
}

// awaitRound starts a heartbeat round, unless an earlier read waits for one. Reads that arrive during a round share the
// next one, which starts when the current one has completed.
func (machine *machine) awaitRound(now time.Duration, pending pendingRead) {
	lead := machine.leadership
	pending.round = lead.round + 1
	lead.reads = append(lead.reads, pending)
	if len(lead.reads) == 1 {
		machine.broadcastHeartbeat(now)
		machine.finishReads(now)
	}
}

// finishReads completes the reads whose round a majority has acknowledged, and starts the round for the remaining ones.
func (machine *machine) finishReads(now time.Duration) {
	lead := machine.leadership
	finished := 0
	for finished < len(lead.reads) && machine.isRoundConfirmed(lead.reads[finished].round) {
		machine.emit(lead.reads[finished].doneEffect(lead.reads[finished].result))
		finished++
	}
	if finished == 0 {
		return
	}
	lead.reads = lead.reads[finished:]
	if len(lead.reads) > 0 && lead.reads[0].round > lead.round {
		machine.broadcastHeartbeat(now)
		machine.finishReads(now)
	}
}

// isRoundConfirmed reports whether a majority has acknowledged a heartbeat of the round or of a later one.
func (machine *machine) isRoundConfirmed(round uint64) bool {
	if round > machine.leadership.round {
		return false
	}
	return machine.record.Contents.isQuorum(func(identity string) bool {
		if identity == machine.record.Identity {
			return true
		}
		progress := machine.leadership.peers[identity]
		return progress != nil && progress.answeredRound >= round
	})
}

// abandonRead removes a read whose caller stopped waiting, and reports whether it was pending.
func (machine *machine) abandonRead(abandoned abandon) bool {
	lead := machine.leadership
	for position, pending := range lead.reads {
		if pending.number != abandoned.proposal {
			continue
		}
		lead.reads = append(lead.reads[:position:position], lead.reads[position+1:]...)
		machine.emit(pending.doneEffect(abandoned.cause))
		return true
	}
	return false
}
