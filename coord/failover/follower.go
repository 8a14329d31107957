package failover

import "time"

// handleReplicateRequest handles a heartbeat as a follower: it grants the lease and adopts the leader's version. The
// answer waits until the record has been synced, if the request changed it or the disk doesn't name this leader yet.
func (machine *machine) handleReplicateRequest(now time.Duration, incoming replicateCall) {
	request := incoming.request
	if request.Member != machine.record.Identity {
		reply := ReplicateReply{Epoch: machine.record.VotedEpoch, NotMember: true}
		machine.emit(answerReplicate{call: incoming.call, reply: reply})
		return
	}
	if !machine.canFollow(now, request) {
		reply := ReplicateReply{Epoch: machine.record.VotedEpoch}
		machine.emit(answerReplicate{call: incoming.call, reply: reply})
		return
	}
	if request.Resign {
		machine.handleLeaderResigned(now, incoming)
		return
	}
	if machine.leadership != nil {
		machine.stepDown(now, "another member leads a newer epoch")
	}
	machine.followLeader(now, request)
	isVersionAdopted := machine.adoptVersion(request)
	machine.updateCommitted(request)
	finish := func() effect {
		return answerReplicate{call: incoming.call, reply: machine.replicateReply()}
	}
	mustWait := isVersionAdopted || request.Contents != nil
	if !mustWait && machine.isLeaderSaved(request) {
		machine.emit(finish())
		return
	}
	machine.answerOnceSaved(finish)
}

// canFollow reports whether the sender leads the newest epoch known to this member, and its lease may be granted.
func (machine *machine) canFollow(now time.Duration, request ReplicateRequest) bool {
	if now < machine.ackAfter {
		return false
	}
	if machine.leadership != nil && request.Epoch == machine.leadership.epoch {
		return false
	}
	if request.Lease > machine.config.timing.LongestLease {
		return false // after a restart this member wouldn't wait until such a lease has ended
	}
	return request.Epoch >= machine.record.VotedEpoch
}

// followLeader grants the lease, starting now, and records the leader.
func (machine *machine) followLeader(now time.Duration, request ReplicateRequest) {
	machine.campaign = nil
	machine.grant = grant{
		leader:    request.Leader,
		address:   request.LeaderAddress,
		expiresAt: now + machine.grantDuration(request),
	}
	machine.scheduleCampaign(now, machine.electionJitter())
	if request.Epoch == machine.record.VotedEpoch && request.Leader == machine.record.VotedFor {
		return
	}
	machine.record.VotedEpoch = request.Epoch
	machine.record.VotedFor = request.Leader
	machine.saveRecord()
}

// grantDuration returns how long the sender of the request relies on the grant.
func (machine *machine) grantDuration(request ReplicateRequest) time.Duration {
	if request.Lease == 0 {
		return machine.config.timing.LongestLease
	}
	return request.Lease
}

// isLeaderSaved reports whether the record on disk names the leader of the request, which any acknowledgement requires.
func (machine *machine) isLeaderSaved(request ReplicateRequest) bool {
	return machine.saved.votedEpoch == request.Epoch && machine.saved.votedFor == request.Leader
}

// adoptVersion adopts the version of the request if it is newer and its contents are available: they are either in the
// request or the same as those of the current version. It reports whether it did.
func (machine *machine) adoptVersion(request ReplicateRequest) bool {
	offered := Version{Epoch: request.StateEpoch, Seq: request.StateSeq}
	if !machine.record.Version.Less(offered) {
		return false
	}
	same := Version{Epoch: request.SameEpoch, Seq: request.SameSeq}
	isSame := same != Version{} && same == machine.record.Version
	if request.Contents == nil && !isSame {
		return false
	}
	if request.Contents != nil {
		machine.record.Contents = *request.Contents
	}
	machine.record.Version = offered
	machine.saveRecord()
	return true
}

// updateCommitted applies the commit position of the leader, if this member holds a version of the leader's epoch.
func (machine *machine) updateCommitted(request ReplicateRequest) {
	held := machine.record.Version
	if held.Epoch == request.Epoch && held.Seq <= request.CommittedSeq {
		machine.setCommitted(held, machine.record.Contents)
	}
}

// handleLeaderResigned drops the grant, so that this member may vote and be elected at once. The sender never again
// leads the epoch of the request or an older one, and canFollow has checked that this member has accepted no newer
// epoch, so the grant belongs to a leadership that has ended.
func (machine *machine) handleLeaderResigned(now time.Duration, incoming replicateCall) {
	if now < machine.grant.expiresAt && machine.grant.leader == incoming.request.Leader {
		machine.grant = grant{}
		machine.scheduleCampaign(now, machine.electionJitter())
	}
	machine.emit(answerReplicate{call: incoming.call, reply: machine.replicateReply()})
}

// replicateReply acknowledges the request and reports the version that has been synced.
func (machine *machine) replicateReply() ReplicateReply {
	return ReplicateReply{
		Ok:          true,
		Epoch:       machine.record.VotedEpoch,
		StateEpoch:  machine.saved.version.Epoch,
		StateSeq:    machine.saved.version.Seq,
		Incarnation: machine.config.incarnation,
	}
}
