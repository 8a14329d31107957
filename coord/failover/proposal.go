package failover

import (
	"bytes"
	"slices"
	"time"
)

func (machine *machine) handlePropose(now time.Duration, wanted propose) {
	lead := machine.leadership
	if lead == nil || !lead.isServing {
		err := NotLeader{LeaderAddress: machine.leaderAddress(now)}
		machine.emit(proposalDone{proposal: wanted.proposal, err: err})
		return
	}
	if len(lead.queue) >= machine.config.queueLimit {
		err := Overloaded{Limit: machine.config.queueLimit}
		machine.emit(proposalDone{proposal: wanted.proposal, err: err})
		return
	}
	lead.queue = append(lead.queue, wanted)
	machine.startProposal(now)
}

// handleAbandon ends a proposal early. One that is under way goes on, but nobody learns of its end.
func (machine *machine) handleAbandon(abandoned abandon) {
	lead := machine.leadership
	if lead == nil {
		return
	}
	if lead.inFlight != nil && lead.inFlight.proposal == abandoned.proposal {
		err := OutcomeUnknown{Reason: abandoned.cause.Error()}
		machine.emit(proposalDone{proposal: abandoned.proposal, err: err})
		return
	}
	isAbandoned := func(waiting propose) bool { return waiting.proposal == abandoned.proposal }
	if position := slices.IndexFunc(lead.queue, isAbandoned); position >= 0 {
		lead.queue = slices.Delete(lead.queue, position, position+1)
		machine.emit(proposalDone{proposal: abandoned.proposal, err: abandoned.cause})
	}
}

// startProposal begins the first proposal that changes something, unless one is under way.
func (machine *machine) startProposal(now time.Duration) {
	lead := machine.leadership
	for lead.inFlight == nil && len(lead.queue) > 0 {
		next := lead.queue[0]
		lead.queue = slices.Delete(lead.queue, 0, 1)
		contents, err := machine.proposedContents(next)
		if err != nil || isSameContents(contents, machine.record.Contents) {
			machine.emit(proposalDone{proposal: next.proposal, err: err})
			continue
		}
		lead.inFlight = &next
		machine.writeVersion(now, contents)
	}
}

// writeVersion gives new contents the next version and sends them.
func (machine *machine) writeVersion(now time.Duration, contents Contents) {
	if !slices.Equal(contents.Members, machine.record.Contents.Members) {
		machine.leadership.oldMembers = machine.record.Contents.Members
	}
	machine.leadership.same = Version{}
	machine.record.Contents = contents
	machine.record.Version.Seq++
	machine.changeRecord()
	machine.broadcast(now)
}

func (machine *machine) proposedContents(proposed propose) (Contents, error) {
	contents := machine.record.Contents
	if proposed.members != nil {
		members, err := proposed.members.apply(contents.Members)
		contents.Members = members
		return contents, err
	}
	state, err := proposed.change(contents.State)
	contents.State = state
	return contents, err
}

func isSameContents(one, other Contents) bool {
	return bytes.Equal(one.State, other.State) && slices.Equal(one.Members, other.Members)
}
