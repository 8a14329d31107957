package failover

import "time"

// pendingMemberChange is the change of voters that a leader was asked for. Contents that are joint outlast it: whoever leads
// finishes them.
type pendingMemberChange struct {
	proposal        uint64
	requested       memberChange
	learner         *Member // being sent the contents; nil once it has synced them, and where none is added
	requiredVersion Version // what the learner must have synced
}

// handleMemberChange begins a change of voters. A voter to be added is a learner first.
func (machine *machine) handleMemberChange(now time.Duration, requested propose) {
	lead := machine.leadership
	if lead.pendingChange != nil {
		machine.emit(proposalDone{proposal: requested.proposal, err: MemberChangePendingError{}})
		return
	}
	members, err := requested.members.apply(machine.record.Contents.Members)
	if err != nil {
		machine.emit(proposalDone{proposal: requested.proposal, err: err})
		return
	}
	isSame := equalContents(machine.record.Contents, machine.record.Contents.withMembers(members))
	if isSame && !machine.record.Contents.isJoint() {
		machine.emit(proposalDone{proposal: requested.proposal})
		return
	}
	lead.pendingChange = &pendingMemberChange{proposal: requested.proposal, requested: *requested.members, requiredVersion: machine.record.Version}
	if isSame {
		return // it is joint already, and ends when that does
	}
	added := requested.members.add
	if added == nil || machine.record.Contents.hasVoter(added.ID) {
		machine.queueJointVersion(now)
		return
	}
	lead.pendingChange.learner = added
	machine.replicate(now, *added)
}

// advanceLearner goes on with the change once the learner has synced the contents.
func (machine *machine) advanceLearner(now time.Duration) {
	change := machine.leadership.pendingChange
	if change == nil || change.learner == nil {
		return
	}
	progress := machine.leadership.peers[change.learner.ID]
	if progress == nil || !progress.isVersionKnown || progress.version.Less(change.requiredVersion) {
		return
	}
	change.learner = nil
	machine.queueJointVersion(now)
}

// queueJointVersion has the joint version written next.
func (machine *machine) queueJointVersion(now time.Duration) {
	lead := machine.leadership
	next := propose{proposal: lead.pendingChange.proposal, members: &lead.pendingChange.requested}
	lead.queue = append([]propose{next}, lead.queue...)
	machine.startNextProposal(now)
}

// leaveJoint writes the new list alone, once the joint version is committed and those that it adds have synced it. A
// leader that the new list does not name leaves that to another one: if it alone held the new list, it could neither be
// elected by it nor vote for a member that holds the joint version.
func (machine *machine) leaveJoint(now time.Duration) {
	lead := machine.leadership
	if lead == nil || !lead.isServing || lead.inFlight != nil || !machine.record.Contents.isJoint() {
		return
	}
	for _, added := range machine.record.Contents.addedMembers() {
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
	lead.inFlight = &propose{leavesJoint: true}
	machine.writeVersion(now, contents)
}

// hasSyncedSince reports whether a member has synced a version or a newer one.
func (machine *machine) hasSyncedSince(identity string, version Version) bool {
	if identity == machine.record.Identity {
		return !machine.saved.version.Less(version)
	}
	progress := machine.leadership.peers[identity]
	return progress != nil && progress.isVersionKnown && !progress.version.Less(version)
}

// completeMemberChange tells the proposer that the new list is committed alone.
func (machine *machine) completeMemberChange() {
	lead := machine.leadership
	if lead.pendingChange == nil {
		return
	}
	machine.emit(proposalDone{proposal: lead.pendingChange.proposal})
	lead.pendingChange = nil
}

// abandonMemberChange forgets the change that a proposal asked for. A joint version stays.
func (machine *machine) abandonMemberChange(abandoned abandon) bool {
	lead := machine.leadership
	if lead.pendingChange == nil || lead.pendingChange.proposal != abandoned.proposal {
		return false
	}
	var err error = OutcomeUnknownError{Reason: abandoned.cause.Error()}
	if lead.pendingChange.learner != nil {
		err = LearnerBehindError{Learner: lead.pendingChange.learner.ID, Cause: abandoned.cause}
	}
	lead.pendingChange = nil
	lead.dropQueued(abandoned.proposal)
	machine.emit(proposalDone{proposal: abandoned.proposal, err: err})
	return true
}
