package failover

import "time"

// peer is what the leader knows of another member.
type peer struct {
	isKnown         bool // it has answered in this epoch, and no transfer of contents has failed since
	version         Version
	hasGranted      bool
	grantedSentAt   time.Duration // when the newest heartbeat that it answered was sent
	answeredRound   uint64        // newest round of heartbeats that it answered
	contentsRound   uint64        // round in which contents were sent last
	contentsRetryAt time.Duration // contents are on their way until then; 0 for none
	contentsFailed  int           // transfers of contents in a row that brought no answer in time
	incarnation     uint64        // of the process that answered last; 0 where it did not tell
}

// contentsDoublings bounds how often the time for a transfer of contents is doubled.
const contentsDoublings = 4

// contentsTimeout is how long the next transfer of contents may take: twice as long after each that failed, so that large
// contents come through a slow link at last.
func (known *peer) contentsTimeout(timing Timing) time.Duration {
	return timing.ContentsTimeout << min(known.contentsFailed, contentsDoublings)
}

// endTransfer takes in how a transfer of contents ended. One that another has followed changes nothing.
func (known *peer) endTransfer(result replicateResult) {
	if result.round != known.contentsRound {
		return
	}
	known.contentsRetryAt = 0
	known.isKnown = false // nothing is sent to it again before it has answered a heartbeat
	if result.failed {
		known.contentsFailed++
	} else {
		known.contentsFailed = 0
	}
}

// noteIncarnation gives up a transfer of contents to a process that has ended: its successor has not got them.
func (known *peer) noteIncarnation(result replicateResult) {
	told := result.reply.Incarnation
	isLate := result.round < known.answeredRound
	if told == 0 || isLate {
		return
	}
	if known.incarnation != 0 && known.incarnation != told {
		known.contentsRetryAt = 0
		known.contentsFailed = 0
	}
	known.incarnation = told
}

// leadership is the state of a leader. It serves once the version that it inherited is committed under its epoch.
type leadership struct {
	epoch       uint64
	electedAt   time.Duration
	heartbeatAt time.Duration
	peers       map[string]*peer // by identity
	same        Version          // an older version with the contents of the record
	jointSince  Version          // where the record is joint: the version under which this leader first had it
	isServing   bool
	inFlight    *propose
	queue       []propose
	change      *changeUnderWay // nil for none
	round       uint64          // number of the newest round of heartbeats
	reads       []waitingRead   // by rising round
}

// startLeadership writes the inherited version anew under the own epoch.
func (machine *machine) startLeadership(now time.Duration) {
	machine.leadership = &leadership{
		epoch:     machine.campaign.epoch,
		electedAt: now,
		peers:     make(map[string]*peer),
		same:      machine.record.Version,
	}
	machine.campaign = nil
	machine.grant = grant{}
	machine.record.Version = Version{Epoch: machine.leadership.epoch, Seq: machine.record.Version.Seq + 1}
	machine.leadership.jointSince = machine.record.Version
	machine.changeRecord()
	machine.broadcast(now)
}

// broadcast sends a heartbeat to every other member, with the contents where they are known to be missing.
func (machine *machine) broadcast(now time.Duration) {
	machine.leadership.round++
	machine.leadership.heartbeatAt = now + machine.config.timing.Heartbeat
	for _, member := range machine.audience() {
		machine.replicate(now, member)
	}
}

// audience lists the voters and the learner, without this member.
func (machine *machine) audience() []Member {
	var audience []Member
	for _, member := range machine.record.Contents.voters() {
		if member.ID != machine.record.Identity {
			audience = append(audience, member)
		}
	}
	change := machine.leadership.change
	if change != nil && change.learner != nil && !hasMember(audience, change.learner.ID) {
		audience = append(audience, *change.learner)
	}
	return audience
}

func (machine *machine) replicate(now time.Duration, member Member) {
	request := machine.replicateRequest(member.ID)
	known := machine.peer(member.ID)
	isMissing := known.isKnown && known.version.Less(machine.record.Version)
	wanted := sendReplicate{address: member.Address, request: request, sentAt: now, round: machine.leadership.round}
	if isMissing && machine.maySendContents(member.ID) && now >= known.contentsRetryAt {
		if known.contentsRetryAt != 0 {
			known.contentsFailed++ // the transfer before has brought no answer in time; its outcome will be late
		}
		wanted.timeout = known.contentsTimeout(machine.config.timing)
		known.contentsRound = wanted.round
		known.contentsRetryAt = now + wanted.timeout
		contents := machine.record.Contents
		wanted.request.Contents = &contents
	}
	machine.emit(wanted)
}

// maySendContents reports whether a member may hold the newest version. A learner gets committed ones alone: if it held another,
// it would refuse its vote to a member that is needed, and could not be elected itself.
func (machine *machine) maySendContents(identity string) bool {
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
		SameEpoch:     machine.leadership.same.Epoch,
		SameSeq:       machine.leadership.same.Seq,
		Lease:         machine.config.timing.Lease,
	}
	if machine.leadership.isServing {
		request.CommittedSeq = machine.committedVersion.Seq
	}
	return request
}

func (machine *machine) peer(identity string) *peer {
	known := machine.leadership.peers[identity]
	if known == nil {
		known = &peer{}
		machine.leadership.peers[identity] = known
	}
	return known
}

func (machine *machine) handleReplicateResult(now time.Duration, result replicateResult) {
	if machine.leadership == nil || machine.leadership.epoch != result.epoch {
		return
	}
	known := machine.peer(result.member)
	if result.withContents {
		known.endTransfer(result)
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
	known.noteIncarnation(result)
	known.isKnown = true
	known.hasGranted = true
	known.grantedSentAt = max(known.grantedSentAt, result.sentAt)
	known.answeredRound = max(known.answeredRound, result.round)
	version := Version{Epoch: result.reply.StateEpoch, Seq: result.reply.StateSeq}
	if known.version.Less(version) {
		known.version = version
	}
	machine.sendMissing(now, result.member)
	machine.advanceLearner(now)
	machine.advanceCommit(now)
	machine.settleMembers(now)
	if machine.leadership != nil {
		machine.finishReads(now)
	}
}

// sendMissing sends the contents at once to a member that has turned out to lack them.
func (machine *machine) sendMissing(now time.Duration, identity string) {
	known := machine.peer(identity)
	isMissing := known.version.Less(machine.record.Version) && machine.maySendContents(identity)
	if !isMissing || now < known.contentsRetryAt {
		return
	}
	for _, member := range machine.audience() {
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
	machine.endInFlight()
	if !machine.isVoter() {
		machine.handleResign(now)
		return
	}
	machine.settleMembers(now)
	if machine.leadership != nil {
		machine.startProposal(now)
	}
}

// endInFlight ends the proposal whose version was committed. A change of members ends with its last version.
func (machine *machine) endInFlight() {
	lead := machine.leadership
	ended := lead.inFlight
	lead.inFlight = nil
	switch {
	case ended == nil:
	case !ended.isMemberChange():
		machine.emit(proposalDone{proposal: ended.proposal})
	case !machine.record.Contents.isJoint():
		machine.endMemberChange()
	}
}

// hasSynced reports whether a member has synced the newest version.
func (machine *machine) hasSynced(identity string) bool {
	if identity == machine.record.Identity {
		return machine.saved.version == machine.record.Version
	}
	known := machine.leadership.peers[identity]
	return known != nil && known.version == machine.record.Version
}

// leaseEnds returns when the leader must have stopped.
func (machine *machine) leaseEnds(now time.Duration) time.Duration {
	start := machine.leadership.electedAt
	if granted, isGranted := machine.newestQuorumGrant(now); isGranted {
		start = granted
	}
	return start + machine.config.timing.Lease - machine.config.timing.Margin
}

// newestQuorumGrant returns the latest moment since which a majority has answered heartbeats that were sent then or
// later.
func (machine *machine) newestQuorumGrant(now time.Duration) (time.Duration, bool) {
	newest, isFound := time.Duration(0), false
	consider := func(moment time.Duration) {
		hasGranted := func(identity string) bool { return machine.hasGrantedSince(identity, moment) }
		if (!isFound || moment > newest) && machine.record.Contents.isQuorum(hasGranted) {
			newest, isFound = moment, true
		}
	}
	consider(now)
	for _, known := range machine.leadership.peers {
		if known.hasGranted {
			consider(known.grantedSentAt)
		}
	}
	return newest, isFound
}

func (machine *machine) hasGrantedSince(identity string, moment time.Duration) bool {
	if identity == machine.record.Identity {
		return true
	}
	known := machine.leadership.peers[identity]
	return known != nil && known.hasGranted && known.grantedSentAt >= moment
}

// servesUntil returns when the lease of a leader that serves ends; 0 where this member does not serve.
func (machine *machine) servesUntil(now time.Duration) time.Duration {
	if machine.leadership == nil || !machine.leadership.isServing {
		return 0
	}
	return machine.leaseEnds(now)
}

// endLostLeadership steps down before anything else is done with a lease that has ended.
func (machine *machine) endLostLeadership(now time.Duration) {
	if machine.leadership != nil && now >= machine.leaseEnds(now) {
		machine.stepDown(now, "the lease has ended")
	}
}

// handleResign steps down and tells the others that they may elect another leader at once.
func (machine *machine) handleResign(now time.Duration) {
	if machine.leadership == nil {
		return
	}
	audience := machine.audience()
	requests := make([]ReplicateRequest, 0, len(audience))
	for _, member := range audience {
		request := machine.replicateRequest(member.ID)
		request.Resign = true
		requests = append(requests, request)
	}
	machine.stepDown(now, "resigned")
	machine.planElection(now+machine.config.timing.Lease, machine.spread())
	for position, member := range audience {
		machine.emit(sendReplicate{address: member.Address, request: requests[position], sentAt: now})
	}
}

// stepDown ends the leadership. The proposal under way may or may not come into force; those that wait do not.
func (machine *machine) stepDown(now time.Duration, reason string) {
	lead := machine.leadership
	machine.leadership = nil
	machine.planElection(now, machine.spread())
	if lead.inFlight != nil && !lead.inFlight.isMemberChange() {
		machine.emit(proposalDone{proposal: lead.inFlight.proposal, err: OutcomeUnknownError{Reason: reason}})
	}
	for _, waiting := range lead.queue {
		if !waiting.isMemberChange() {
			machine.emit(proposalDone{proposal: waiting.proposal, err: NotLeaderError{}})
		}
	}
	if lead.change != nil {
		machine.emit(proposalDone{proposal: lead.change.proposal, err: OutcomeUnknownError{Reason: reason}})
	}
	for _, waiting := range lead.reads {
		machine.emit(waiting.ended(NotLeaderError{}))
	}
	machine.emit(steppedDown{epoch: lead.epoch, reason: reason})
}
