package failover

import "time"

// peerProgress is what the leader knows about another member.
type peerProgress struct {
	isVersionKnown   bool          // it has answered in this epoch, and no transfer of contents has failed since
	version          Version       // newest version that it has reported as synced
	hasGranted       bool          // it has acknowledged a heartbeat of this leader
	grantedSentAt    time.Duration // send time of the newest heartbeat that it acknowledged
	answeredRound    uint64        // newest heartbeat round that it acknowledged
	contentsRound    uint64        // heartbeat round of the newest transfer of contents
	contentsRetryAt  time.Duration // end of the timeout of the transfer in progress; 0 if there is none
	contentsFailures int           // number of consecutive transfers without an answer in time
	incarnation      uint64        // incarnation in the newest reply; 0 if it reported none
}

// maxTimeoutDoublings bounds how often the timeout for transfers of contents is doubled.
const maxTimeoutDoublings = 4

// contentsTimeout returns the timeout of the next transfer of contents. It doubles after each failure, so that large
// contents eventually get through a slow link.
func (progress *peerProgress) contentsTimeout(timing Timing) time.Duration {
	return timing.ContentsTimeout << min(progress.contentsFailures, maxTimeoutDoublings)
}

// endTransfer records the outcome of a transfer of contents. The outcome is ignored if a newer transfer has started.
func (progress *peerProgress) endTransfer(result replicateResult) {
	if result.round != progress.contentsRound {
		return
	}
	progress.contentsRetryAt = 0
	progress.isVersionKnown = false // nothing more is sent until it has answered a heartbeat
	if result.failed {
		progress.contentsFailures++
	} else {
		progress.contentsFailures = 0
	}
}

// updateIncarnation abandons a transfer of contents to a process that has since restarted, because the new process
// hasn't received them.
func (progress *peerProgress) updateIncarnation(result replicateResult) {
	reported := result.reply.Incarnation
	isLate := result.round < progress.answeredRound
	if reported == 0 || isLate {
		return
	}
	if progress.incarnation != 0 && progress.incarnation != reported {
		progress.contentsRetryAt = 0
		progress.contentsFailures = 0
	}
	progress.incarnation = reported
}

// leadership is the state of an elected leader. The leader serves once the inherited version is committed in its epoch.
type leadership struct {
	epoch            uint64
	electedAt        time.Duration            // the lease starts here until a majority has acknowledged a heartbeat
	heartbeatAt      time.Duration            // time of the next heartbeat
	peers            map[string]*peerProgress // by identity
	inheritedVersion Version                  // older version with the same contents as the record; zero if there is none
	jointSince       Version                  // while the record is joint: version in which this leader first held its lists of voters
	isServing        bool                     // the inherited version is committed in this epoch
	inFlight         *propose                 // written but not committed yet; nil if there is none
	queue            []propose                // proposals that wait for the one in flight
	pendingChange    *pendingMemberChange     // nil if there is none
	round            uint64                   // number of the newest heartbeat round
	reads            []pendingRead            // ordered by round
}

// startLeadership writes the inherited contents as a new version of the leader's own epoch.
func (machine *machine) startLeadership(now time.Duration) {
	machine.leadership = &leadership{
		epoch:            machine.campaign.epoch,
		electedAt:        now,
		peers:            make(map[string]*peerProgress),
		inheritedVersion: machine.record.Version,
	}
	machine.campaign = nil
	machine.grant = grant{}
	machine.record.Version = Version{Epoch: machine.leadership.epoch, Seq: machine.record.Version.Seq + 1}
	machine.leadership.jointSince = machine.record.Version
	machine.saveRecord()
	machine.broadcastHeartbeat(now)
}

// broadcastHeartbeat sends a heartbeat to every other member, with the contents if they are known to be missing.
func (machine *machine) broadcastHeartbeat(now time.Duration) {
	machine.leadership.round++
	machine.leadership.heartbeatAt = now + machine.config.timing.Heartbeat
	for _, member := range machine.recipients() {
		machine.replicate(now, member)
	}
}

// recipients returns the voters and the learner, except for this member.
func (machine *machine) recipients() []Member {
	var recipients []Member
	for _, member := range machine.record.Contents.voters() {
		if member.ID != machine.record.Identity {
			recipients = append(recipients, member)
		}
	}
	change := machine.leadership.pendingChange
	if change != nil && change.learner != nil && !hasMember(recipients, change.learner.ID) {
		recipients = append(recipients, *change.learner)
	}
	return recipients
}

// replicate sends a heartbeat to a member. It includes the contents if the member lacks them, may receive them and no
// transfer to it is in progress.
func (machine *machine) replicate(now time.Duration, member Member) {
	request := machine.replicateRequest(member.ID)
	progress := machine.peerProgress(member.ID)
	isMissing := progress.isVersionKnown && progress.version.Less(machine.record.Version)
	send := sendReplicate{address: member.Address, request: request, sentAt: now, round: machine.leadership.round}
	if isMissing && machine.canReceiveContents(member.ID) && now >= progress.contentsRetryAt {
		if progress.contentsRetryAt != 0 {
			progress.contentsFailures++ // the previous transfer got no answer in time; its failure is reported after the next one has started
		}
		send.timeout = progress.contentsTimeout(machine.config.timing)
		progress.contentsRound = send.round
		progress.contentsRetryAt = now + send.timeout
		contents := machine.record.Contents
		send.request.Contents = &contents
	}
	machine.emit(send)
}

// canReceiveContents reports whether a member may be sent the newest version. A learner gets only committed versions: if
// it held an uncommitted one, it would refuse its vote to a needed member with an older version, and as a non-voter it
// couldn't be elected itself.
func (machine *machine) canReceiveContents(identity string) bool {
	return machine.record.Contents.hasVoter(identity) || machine.committedVersion == machine.record.Version
}

func (machine *machine) replicateRequest(identity string) ReplicateRequest {
	request := ReplicateRequest{
		Member:        identity,
		Leader:        machine.record.Identity,
		LeaderAddress: machine.config.address,
		Epoch:         machine.leadership.epoch,
		StateEpoch:    machine.record.Version.Epoch,
		StateSeq:      machine.record.Version.Seq,
		SameEpoch:     machine.leadership.inheritedVersion.Epoch,
		SameSeq:       machine.leadership.inheritedVersion.Seq,
		Lease:         machine.config.timing.Lease,
	}
	if machine.leadership.isServing {
		request.CommittedSeq = machine.committedVersion.Seq
	}
	return request
}

// peerProgress returns the progress of a member and starts to track it if it is new.
func (machine *machine) peerProgress(identity string) *peerProgress {
	progress := machine.leadership.peers[identity]
	if progress == nil {
		progress = &peerProgress{}
		machine.leadership.peers[identity] = progress
	}
	return progress
}

func (machine *machine) handleReplicateResult(now time.Duration, result replicateResult) {
	if machine.leadership == nil || machine.leadership.epoch != result.epoch {
		return
	}
	progress := machine.peerProgress(result.member)
	if result.withContents {
		progress.endTransfer(result)
	}
	if result.failed || result.reply.NotMember {
		return
	}
	if result.reply.Epoch > result.epoch {
		machine.highestEpoch = max(machine.highestEpoch, result.reply.Epoch)
		machine.stepDown(now, "a member has voted in a newer epoch")
		return
	}
	if !result.reply.Ok {
		return
	}
	progress.updateIncarnation(result)
	progress.isVersionKnown = true
	progress.hasGranted = true
	progress.grantedSentAt = max(progress.grantedSentAt, result.sentAt)
	progress.answeredRound = max(progress.answeredRound, result.round)
	version := Version{Epoch: result.reply.StateEpoch, Seq: result.reply.StateSeq}
	if progress.version.Less(version) {
		progress.version = version
	}
	machine.sendMissingContents(now, result.member)
	machine.advanceLearner(now)
	machine.advanceCommit(now)
	machine.leaveJoint(now)
	if machine.leadership != nil {
		machine.finishReads(now)
	}
}

// sendMissingContents sends the contents at once to a member that was found to lack them.
func (machine *machine) sendMissingContents(now time.Duration, identity string) {
	progress := machine.peerProgress(identity)
	isMissing := progress.version.Less(machine.record.Version) && machine.canReceiveContents(identity)
	if !isMissing || now < progress.contentsRetryAt {
		return
	}
	for _, member := range machine.recipients() {
		if member.ID == identity {
			machine.replicate(now, member)
		}
	}
}

// advanceCommit commits the newest version once a majority has synced it.
func (machine *machine) advanceCommit(now time.Duration) {
	lead := machine.leadership
	if lead == nil || !machine.committedVersion.Less(machine.record.Version) {
		return
	}
	if !machine.record.Contents.isQuorum(machine.hasSynced) {
		return
	}
	machine.setCommitted(machine.record.Version, machine.record.Contents)
	if !lead.isServing {
		lead.isServing = true
		machine.emit(becameLeader{epoch: lead.epoch})
	}
	machine.completeInFlight()
	if !machine.isVoter() {
		machine.handleResign(now)
		return
	}
	machine.leaveJoint(now)
	if machine.leadership != nil {
		machine.startNextProposal(now)
	}
}

// completeInFlight completes the proposal whose version was committed. A membership change completes only with its last
// version.
func (machine *machine) completeInFlight() {
	lead := machine.leadership
	ended := lead.inFlight
	lead.inFlight = nil
	switch {
	case ended == nil:
	case !ended.isMemberChange():
		machine.emit(proposalDone{proposal: ended.proposal})
	case !machine.record.Contents.isJoint():
		machine.completeMemberChange()
	}
}

// hasSynced reports whether a member has synced the newest version.
func (machine *machine) hasSynced(identity string) bool {
	if identity == machine.record.Identity {
		return machine.saved.version == machine.record.Version
	}
	progress := machine.leadership.peers[identity]
	return progress != nil && progress.version == machine.record.Version
}

// leaseExpiry returns the time at which the leader must have stopped serving.
func (machine *machine) leaseExpiry(now time.Duration) time.Duration {
	start := machine.leadership.electedAt
	if granted, isGranted := machine.quorumGrantTime(now); isGranted {
		start = granted
	}
	return start + machine.config.timing.Lease - machine.config.timing.Margin
}

// quorumGrantTime returns the latest time such that a majority has acknowledged heartbeats sent at that time or later,
// and whether there is one.
func (machine *machine) quorumGrantTime(now time.Duration) (time.Duration, bool) {
	newest, isFound := time.Duration(0), false
	consider := func(since time.Duration) {
		hasGranted := func(identity string) bool { return machine.hasGrantedSince(identity, since) }
		if (!isFound || since > newest) && machine.record.Contents.isQuorum(hasGranted) {
			newest, isFound = since, true
		}
	}
	consider(now)
	for _, progress := range machine.leadership.peers {
		if progress.hasGranted {
			consider(progress.grantedSentAt)
		}
	}
	return newest, isFound
}

// hasGrantedSince reports whether a member has acknowledged a heartbeat sent at the given time or later.
func (machine *machine) hasGrantedSince(identity string, since time.Duration) bool {
	if identity == machine.record.Identity {
		return true
	}
	progress := machine.leadership.peers[identity]
	return progress != nil && progress.hasGranted && progress.grantedSentAt >= since
}

// servesUntil returns the time at which the lease of a serving leader expires, or 0 if this member doesn't serve.
func (machine *machine) servesUntil(now time.Duration) time.Duration {
	if machine.leadership == nil || !machine.leadership.isServing {
		return 0
	}
	return machine.leaseExpiry(now)
}

// stepDownIfLeaseExpired must run before each input, so that no input is handled under an expired lease.
func (machine *machine) stepDownIfLeaseExpired(now time.Duration) {
	if machine.leadership != nil && now >= machine.leaseExpiry(now) {
		machine.stepDown(now, "the lease has expired")
	}
}

// handleResign steps down and tells the other members that they may elect another leader at once.
func (machine *machine) handleResign(now time.Duration) {
	if machine.leadership == nil {
		return
	}
	recipients := machine.recipients()
	requests := make([]ReplicateRequest, 0, len(recipients))
	for _, member := range recipients {
		request := machine.replicateRequest(member.ID)
		request.Resign = true
		requests = append(requests, request)
	}
	machine.stepDown(now, "resigned")
	machine.scheduleCampaign(now+machine.config.timing.Lease, machine.electionJitter())
	for position, member := range recipients {
		machine.emit(sendReplicate{address: member.Address, request: requests[position], sentAt: now})
	}
}

// stepDown ends the leadership. The outcome of the proposal in flight is unknown; queued proposals take no effect.
func (machine *machine) stepDown(now time.Duration, reason string) {
	lead := machine.leadership
	machine.leadership = nil
	machine.scheduleCampaign(now, machine.electionJitter())
	if lead.inFlight != nil && !lead.inFlight.isMemberChange() {
		machine.emit(proposalDone{proposal: lead.inFlight.proposal, err: OutcomeUnknownError{Reason: reason}})
	}
	for _, waiting := range lead.queue {
		if !waiting.isMemberChange() {
			machine.emit(proposalDone{proposal: waiting.proposal, err: NotLeaderError{}})
		}
	}
	if lead.pendingChange != nil {
		machine.emit(proposalDone{proposal: lead.pendingChange.proposal, err: OutcomeUnknownError{Reason: reason}})
	}
	for _, waiting := range lead.reads {
		machine.emit(waiting.doneEffect(NotLeaderError{}))
	}
	machine.emit(steppedDown{epoch: lead.epoch, reason: reason})
}
