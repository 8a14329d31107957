package failover

import (
	"bytes"
	"slices"
	"time"
)

// handlePropose queues a proposal. It fails at once if this member doesn't serve as the leader or the queue is full.
func (machine *machine) handlePropose(now time.Duration, proposed propose) {
	lead := machine.leadership
	if lead == nil || !lead.isServing {
		err := NotLeaderError{LeaderAddress: machine.leaderAddress(now)}
		machine.emit(proposalDone{proposal: proposed.proposal, err: err})
		return
	}
	if proposed.members != nil {
		machine.handleMemberChange(now, proposed)
		return
	}
	if len(lead.queue) >= machine.config.queueLimit {
		err := OverloadedError{Limit: machine.config.queueLimit}
		machine.emit(proposalDone{proposal: proposed.proposal, err: err})
		return
	}
	lead.queue = append(lead.queue, proposed)
	machine.startNextProposal(now)
}

// handleAbandon completes a proposal or a read whose caller stopped waiting. A proposal in flight continues, but its
// final outcome isn't reported.
func (machine *machine) handleAbandon(abandoned abandon) {
	lead := machine.leadership
	if lead == nil || machine.abandonRead(abandoned) || machine.abandonMemberChange(abandoned) {
		return
	}
	if lead.inFlight != nil && lead.inFlight.proposal == abandoned.proposal {
		err := OutcomeUnknownError{Reason: abandoned.cause.Error()}
		machine.emit(proposalDone{proposal: abandoned.proposal, err: err})
		return
	}
	if lead.dropQueued(abandoned.proposal) {
		machine.emit(proposalDone{proposal: abandoned.proposal, err: abandoned.cause})
	}
}

// dropQueued removes a proposal from the queue and reports whether it was queued.
func (lead *leadership) dropQueued(proposal uint64) bool {
	isMatch := func(waiting propose) bool { return waiting.proposal == proposal }
	position := slices.IndexFunc(lead.queue, isMatch)
	if position < 0 {
		return false
	}
	lead.queue = slices.Delete(lead.queue, position, position+1)
	return true
}

// startNextProposal starts the first queued proposal that changes the contents, unless a proposal is in flight. Queued
// proposals that fail or change nothing end like reads, after a heartbeat round.
func (machine *machine) startNextProposal(now time.Duration) {
	lead := machine.leadership
	for lead.inFlight == nil && len(lead.queue) > 0 {
		next := lead.queue[0]
		lead.queue = slices.Delete(lead.queue, 0, 1)
		contents, err := machine.proposedContents(next)
		if err != nil || equalContents(contents, machine.record.Contents) {
			if next.isMemberChange() {
				lead.pendingChange = nil
			}
			machine.awaitRound(now, pendingRead{number: next.proposal, result: err})
			continue
		}
		lead.inFlight = &next
		machine.writeVersion(now, contents)
	}
}

// writeVersion writes new contents as the next version and sends them to the other members.
func (machine *machine) writeVersion(now time.Duration, contents Contents) {
	isChanged := !slices.Equal(contents.Members, machine.record.Contents.Members)
	machine.leadership.inheritedVersion = Version{}
	machine.record.Contents = contents
	machine.record.Version.Seq++
	if isChanged {
		machine.leadership.jointSince = machine.record.Version
	}
	machine.saveRecord()
	machine.broadcastHeartbeat(now)
}

// proposedContents returns the contents that a proposal would write next.
func (machine *machine) proposedContents(proposed propose) (Contents, error) {
	contents := machine.record.Contents
	if proposed.members != nil {
		members, err := proposed.members.apply(contents.Members)
		if err != nil {
			return contents, err
		}
		return contents.withMembers(members), nil
	}
	state, err := proposed.change(contents.State)
	contents.State = state
	return contents, err
}

func equalContents(one, other Contents) bool {
	return bytes.Equal(one.State, other.State) &&
		slices.Equal(one.Members, other.Members) &&
		slices.Equal(one.OldMembers, other.OldMembers)
}
