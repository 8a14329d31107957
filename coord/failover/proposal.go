package failover

import (
	"bytes"
	"slices"
	"time"
)

func (machine *machine) handlePropose(now time.Duration, wanted propose) {
	lead := machine.leadership
	if lead == nil || !lead.isServing {
		err := NotLeaderError{LeaderAddress: machine.leaderAddress(now)}
		machine.emit(proposalDone{proposal: wanted.proposal, err: err})
		return
	}
	if wanted.members != nil {
		machine.handleMemberChange(now, wanted)
		return
	}
	if len(lead.queue) >= machine.config.queueLimit {
		err := OverloadedError{Limit: machine.config.queueLimit}
		machine.emit(proposalDone{proposal: wanted.proposal, err: err})
		return
	}
	lead.queue = append(lead.queue, wanted)
	machine.startProposal(now)
}

// handleAbandon ends a proposal or a read early. A proposal that is under way goes on, but nobody learns of its end.
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

// dropQueued takes a proposal out of the queue, and reports whether it was there.
func (lead *leadership) dropQueued(proposal uint64) bool {
	isWanted := func(waiting propose) bool { return waiting.proposal == proposal }
	position := slices.IndexFunc(lead.queue, isWanted)
	if position < 0 {
		return false
	}
	lead.queue = slices.Delete(lead.queue, position, position+1)
	return true
}

// startProposal begins the first proposal that changes something, unless one is under way.
func (machine *machine) startProposal(now time.Duration) {
	lead := machine.leadership
	for lead.inFlight == nil && len(lead.queue) > 0 {
		next := lead.queue[0]
		lead.queue = slices.Delete(lead.queue, 0, 1)
		contents, err := machine.proposedContents(next)
		if err != nil || isSameContents(contents, machine.record.Contents) {
			if next.isMemberChange() {
				lead.change = nil
			}
			machine.awaitRound(now, waitingRead{number: next.proposal, outcome: err})
			continue
		}
		lead.inFlight = &next
		machine.writeVersion(now, contents)
	}
}

// writeVersion gives new contents the next version and sends them.
func (machine *machine) writeVersion(now time.Duration, contents Contents) {
	isChanged := !slices.Equal(contents.Members, machine.record.Contents.Members)
	machine.leadership.same = Version{}
	machine.record.Contents = contents
	machine.record.Version.Seq++
	if isChanged {
		machine.leadership.jointSince = machine.record.Version
	}
	machine.changeRecord()
	machine.broadcast(now)
}

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

func isSameContents(one, other Contents) bool {
	return bytes.Equal(one.State, other.State) &&
		slices.Equal(one.Members, other.Members) &&
		slices.Equal(one.OldMembers, other.OldMembers)
}
