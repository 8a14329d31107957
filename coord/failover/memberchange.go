package failover

import "time"

// pendingMemberChange is a membership change that was proposed to this leader. If the leader steps down, the joint version
// remains, and the next leader completes the change.
type pendingMemberChange struct {
	proposal        uint64
	requested       memberChange
	learner         *Member // receives the contents; nil once it has synced them, or if no voter is added
	requiredVersion Version // version that the learner must have synced
}

// handleMemberChange starts a membership change. A voter to be added starts as a learner.
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
		return // the joint version is in progress already and completes this change as well
	}
	added := requested.members.add
	if added == nil || machine.record.Contents.hasVoter(added.ID) {
		machine.queueJointVersion(now)
		return
	}
	lead.pendingChange.learner = added
	machine.replicate(now, *added)
}

// advanceLearner queues the joint version once the learner has synced the contents.
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

// queueJointVersion puts the joint version at the head of the proposal queue.
func (machine *machine) queueJointVersion(now time.Duration) {
	lead := machine.leadership
	next := propose{proposal: lead.pendingChange.proposal, members: &lead.pendingChange.requested}
	lead.queue = append([]propose{next}, lead.queue...)
	machine.startNextProposal(now)
}

// leaveJoint writes a version with the new list alone once the joint version is committed and all added voters have
// synced it. A leader that isn't in the new list resigns instead: if it alone held the version with the new list, it
// could neither be elected under that list nor vote for a member that holds the joint version.
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

// hasSyncedSince reports whether a member has synced the given version or a newer one.
func (machine *machine) hasSyncedSince(identity string, version Version) bool {
	if identity == machine.record.Identity {
		return !machine.saved.version.Less(version)
	}
	progress := machine.leadership.peers[identity]
	return progress != nil && progress.isVersionKnown && !progress.version.Less(version)
}

// completeMemberChange reports to the proposer that the version with the new list alone is committed.
func (machine *machine) completeMemberChange() {
	lead := machine.leadership
	if lead.pendingChange == nil {
		return
	}
	machine.emit(proposalDone{proposal: lead.pendingChange.proposal})
	lead.pendingChange = nil
}

// abandonMemberChange drops the pending change if it belongs to the abandoned proposal, and reports whether it does. A
// joint version that was written already remains.
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
