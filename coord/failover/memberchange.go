package failover

import "time"

// changeUnderWay is the change of voters that a leader was asked for. Contents that are joint outlast it: whoever leads
// finishes them.
type changeUnderWay struct {
	proposal uint64
	wanted   memberChange
	learner  *Member // being sent the contents; nil once it has synced them, and where none is added
	needs    Version // what the learner must have synced
}

// handleMemberChange begins a change of voters. A voter to be added is a learner first.
func (machine *machine) handleMemberChange(now time.Duration, wanted propose) {
	lead := machine.leadership
	if lead.change != nil {
		machine.emit(proposalDone{proposal: wanted.proposal, err: MemberChangePendingError{}})
		return
	}
	members, err := wanted.members.apply(machine.record.Contents.Members)
	if err != nil {
		machine.emit(proposalDone{proposal: wanted.proposal, err: err})
		return
	}
	isSame := isSameContents(machine.record.Contents, machine.record.Contents.withMembers(members))
	if isSame && !machine.record.Contents.isJoint() {
		machine.emit(proposalDone{proposal: wanted.proposal})
		return
	}
	lead.change = &changeUnderWay{proposal: wanted.proposal, wanted: *wanted.members, needs: machine.record.Version}
	if isSame {
		return // it is joint already, and ends when that does
	}
	added := wanted.members.add
	if added == nil || machine.record.Contents.hasVoter(added.ID) {
		machine.queueMemberChange(now)
		return
	}
	lead.change.learner = added
	machine.replicate(now, *added)
}

// advanceLearner goes on with the change once the learner has synced the contents.
func (machine *machine) advanceLearner(now time.Duration) {
	change := machine.leadership.change
	if change == nil || change.learner == nil {
		return
	}
	known := machine.leadership.peers[change.learner.ID]
	if known == nil || !known.isKnown || known.version.Less(change.needs) {
		return
	}
	change.learner = nil
	machine.queueMemberChange(now)
}

// queueMemberChange has the joint version written next.
func (machine *machine) queueMemberChange(now time.Duration) {
	lead := machine.leadership
	next := propose{proposal: lead.change.proposal, members: &lead.change.wanted}
	lead.queue = append([]propose{next}, lead.queue...)
	machine.startProposal(now)
}

// settleMembers writes the new list alone, once the joint version is committed and those that it adds have synced it. A
// leader that the new list does not name leaves that to another one: if it alone held the new list, it could neither be
// elected by it nor vote for a member that holds the joint version.
func (machine *machine) settleMembers(now time.Duration) {
	lead := machine.leadership
	if lead == nil || !lead.isServing || lead.inFlight != nil || !machine.record.Contents.isJoint() {
		return
	}
	for _, added := range machine.record.Contents.added() {
		if !machine.hasSyncedSince(added.ID, lead.jointSince) {
			return
		}
	}
	if !hasMember(machine.record.Contents.Members, machine.record.Identity) {
		machine.handleResign(now)
		return
	}
	contents := machine.record.Contents
	contents.OldMembers = nil
	lead.inFlight = &propose{settles: true}
	machine.writeVersion(now, contents)
}

// hasSyncedSince reports whether a member has synced a version or a newer one.
func (machine *machine) hasSyncedSince(identity string, version Version) bool {
	if identity == machine.record.Identity {
		return !machine.saved.version.Less(version)
	}
	known := machine.leadership.peers[identity]
	return known != nil && known.isKnown && !known.version.Less(version)
}

// endMemberChange tells the proposer that the new list is committed alone.
func (machine *machine) endMemberChange() {
	lead := machine.leadership
	if lead.change == nil {
		return
	}
	machine.emit(proposalDone{proposal: lead.change.proposal})
	lead.change = nil
}

// abandonMemberChange forgets the change that a proposal asked for. A joint version stays.
func (machine *machine) abandonMemberChange(abandoned abandon) bool {
	lead := machine.leadership
	if lead.change == nil || lead.change.proposal != abandoned.proposal {
		return false
	}
	var err error = OutcomeUnknownError{Reason: abandoned.cause.Error()}
	if lead.change.learner != nil {
		err = LearnerBehindError{Learner: lead.change.learner.ID, Cause: abandoned.cause}
	}
	lead.change = nil
	lead.dropQueued(abandoned.proposal)
	machine.emit(proposalDone{proposal: abandoned.proposal, err: err})
	return true
}
