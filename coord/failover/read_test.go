package failover

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

// answerRound makes the other member acknowledge a heartbeat round.
func (harness *harness) answerRound(round uint64) []effect {
	version := harness.machine.record.Version
	return harness.step(replicateResult{
		member: otherID,
		epoch:  harness.machine.leadership.epoch,
		sentAt: harness.now,
		round:  round,
		reply:  ReplicateReply{Ok: true, Epoch: version.Epoch, StateEpoch: version.Epoch, StateSeq: version.Seq},
	})
}

func TestReadWaitsForARoundThatBeganAfterIt(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	before := harness.machine.leadership.round
	sent := effectsOf[sendReplicate](harness.step(read{read: 1}))
	must.SliceLen(t, 2, sent)
	must.EqOp(t, before+1, sent[0].round)
	must.SliceEmpty(t, effectsOf[readDone](harness.answerRound(before)))
	done := effectsOf[readDone](harness.answerRound(before + 1))
	must.Eq(t, []readDone{{read: 1}}, done)
}

func TestReadsOfOneRoundShareTheNext(t *testing.T) {
	harness := newSeedHarness(t)
	harness.machine.config.queueLimit = 4
	harness.becomeLeader()
	harness.step(read{read: 1})
	round := harness.machine.leadership.round
	for number := uint64(2); number <= 4; number++ {
		must.SliceEmpty(t, effectsOf[sendReplicate](harness.step(read{read: number})))
	}
	effects := harness.answerRound(round)
	must.Eq(t, []readDone{{read: 1}}, effectsOf[readDone](effects))
	must.SliceLen(t, 2, effectsOf[sendReplicate](effects))
	must.Eq(t, []readDone{{read: 2}, {read: 3}, {read: 4}}, effectsOf[readDone](harness.answerRound(round+1)))
}

// A proposal that is refused or changes nothing completes only after a heartbeat round.
func TestOutcomeWithoutANewVersionWaitsForARound(t *testing.T) {
	refused := errors.New("refused")
	for _, outcome := range []error{nil, refused} {
		harness := newSeedHarness(t)
		harness.becomeLeader()
		change := func(old []byte) ([]byte, error) { return old, outcome }
		must.SliceEmpty(t, effectsOf[proposalDone](harness.step(propose{proposal: 1, change: change})))
		round := harness.machine.leadership.round
		must.SliceEmpty(t, effectsOf[proposalDone](harness.answerRound(round-1)))
		must.Eq(t, []proposalDone{{proposal: 1, err: outcome}}, effectsOf[proposalDone](harness.answerRound(round)))
	}
}

func TestReadEndsWithTheLeadership(t *testing.T) {
	harness := newSeedHarness(t)
	must.Eq(t, []readDone{{read: 1, err: NotLeaderError{}}}, effectsOf[readDone](harness.step(read{read: 1})))
	harness.becomeLeader()
	harness.step(read{read: 2})
	must.Eq(t, []readDone{{read: 2, err: NotLeaderError{}}}, effectsOf[readDone](harness.step(resign{})))
}

func TestReadsThatWaitAreBounded(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	for number := range uint64(2) {
		must.SliceEmpty(t, effectsOf[readDone](harness.step(read{read: number + 1})))
	}
	must.Eq(t, []readDone{{read: 3, err: OverloadedError{Limit: 2}}}, effectsOf[readDone](harness.step(read{read: 3})))
	cause := errors.New("given up")
	must.Eq(t, []readDone{{read: 1, err: cause}}, effectsOf[readDone](harness.step(abandon{proposal: 1, cause: cause})))
	must.SliceEmpty(t, effectsOf[readDone](harness.step(read{read: 3})))
}

func TestNodeRead(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	must.NoError(t, leader.Propose(t.Context(), replaceBy("second")))
	must.NoError(t, leader.Read(t.Context()))
	must.EqOp(t, "second", string(leader.Status().State))
	leaderAddress := leader.Status().LeaderAddress
	for _, address := range testSeeds {
		if address != leaderAddress {
			group.stop(address)
		}
	}
	must.Error(t, leader.Read(t.Context()))
}

func TestNodeFollowerDoesNotRead(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leaderAddress := group.awaitLeader().Status().LeaderAddress
	follower := group.await(func(status Status) bool { return !status.Leader && status.LeaderAddress == leaderAddress })
	must.True(t, errors.As(follower.Read(t.Context()), &NotLeaderError{}))
}

// TestNodeKeepsItsVotersWhereALearnerIsBehind adds a member that is unreachable.
func TestNodeKeepsItsVotersWhereALearnerIsBehind(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	ctx, cancel := context.WithTimeout(t.Context(), testTiming.Lease/2)
	defer cancel()
	err := leader.ProposeMembers(ctx, &Member{ID: "d:1#x", Address: "d:1"}, thirdID)
	behind := LearnerBehindError{}
	must.True(t, errors.As(err, &behind))
	must.EqOp(t, "d:1#x", behind.Learner)
	must.ErrorIs(t, err, context.DeadlineExceeded)
	must.SliceLen(t, 3, leader.Status().Members)
	must.NoError(t, leader.Propose(t.Context(), replaceBy("goes on")))
}

func TestMemberChangesComeOneAtATime(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	add := func(proposal uint64, id string) []proposalDone {
		change := &memberChange{add: &Member{ID: id, Address: id}}
		return effectsOf[proposalDone](harness.step(propose{proposal: proposal, members: change}))
	}
	must.SliceEmpty(t, add(1, "d:1#0"))
	must.Eq(t, []proposalDone{{proposal: 2, err: MemberChangePendingError{}}}, add(2, "e:1#0"))
	cause := errors.New("given up")
	ended := effectsOf[proposalDone](harness.step(abandon{proposal: 1, cause: cause}))
	must.Eq(t, []proposalDone{{proposal: 1, err: LearnerBehindError{Learner: "d:1#0", Cause: cause}}}, ended)
	must.SliceEmpty(t, add(3, "e:1#0"))
}

// TestLearnerIsNoVoterUntilItHoldsTheContents runs the steps of a membership change at the leader.
func TestLearnerIsNoVoterUntilItHoldsTheContents(t *testing.T) {
	const learnerID, learnerAddress = "d:1#0", "d:1"
	harness := newSeedHarness(t)
	harness.becomeLeader()
	reply := func(version Version) []effect {
		return harness.step(replicateResult{
			member: learnerID, epoch: 1, sentAt: harness.now,
			reply: ReplicateReply{Ok: true, Epoch: 1, StateEpoch: version.Epoch, StateSeq: version.Seq},
		})
	}
	change := &memberChange{add: &Member{ID: learnerID, Address: learnerAddress}, removeID: thirdID}
	harness.step(propose{proposal: 1, members: change})
	must.False(t, harness.machine.record.Contents.isJoint())
	withContents := effectsOf[sendReplicate](reply(Version{}))
	must.SliceLen(t, 1, withContents)
	must.NotNil(t, withContents[0].request.Contents)
	must.False(t, harness.machine.record.Contents.isJoint())
	reply(harness.machine.record.Version)
	must.True(t, harness.machine.record.Contents.isJoint())
	harness.confirmSave()
	must.SliceEmpty(t, effectsOf[proposalDone](harness.acknowledge(otherID, harness.now)))
	must.EqOp(t, harness.machine.record.Version, harness.machine.committedVersion) // a majority of each list has synced it
	must.True(t, harness.machine.record.Contents.isJoint())                        // the learner hasn't
	reply(harness.machine.record.Version)
	must.False(t, harness.machine.record.Contents.isJoint())
	harness.confirmSave()
	must.Eq(t, []proposalDone{{proposal: 1}}, effectsOf[proposalDone](harness.acknowledge(otherID, harness.now)))
	must.False(t, hasMember(harness.machine.committedContents.Members, thirdID))
}

// TestRecordOfTheFirstFormatIsRead decodes a record without old members, as the first format had it.
func TestRecordOfTheFirstFormatIsRead(t *testing.T) {
	record := Record{Identity: selfID, VotedEpoch: 4, VotedFor: otherID, Version: Version{Epoch: 3, Seq: 9}}
	record.Contents = Contents{State: []byte("state"), Members: []Member{{ID: selfID, Address: selfAddress, Zone: "z"}}}
	encoded := record.Encode()
	emptyList := len(encoded) - len("state") - 1
	first := append([]byte{recordFormatV1}, encoded[1:emptyList]...)
	decoded, err := DecodeRecord(append(first, "state"...))
	must.NoError(t, err)
	must.Eq(t, record, decoded)
	again, err := DecodeRecord(encoded)
	must.NoError(t, err)
	must.Eq(t, record, again)
}

// Answers of a learner that lacks only an uncommitted version must not trigger requests; the next heartbeat suffices.
func TestLearnerIsNotSentHeartbeatsByItsAnswers(t *testing.T) {
	const learnerID = "d:1#0"
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.step(propose{proposal: 1, members: &memberChange{add: &Member{ID: learnerID, Address: "d:1"}}})
	harness.step(propose{proposal: 2, change: replaceBy("uncommitted")})
	effects := harness.step(replicateResult{member: learnerID, epoch: 1, sentAt: harness.now, reply: ReplicateReply{Ok: true, Epoch: 1}})
	must.SliceEmpty(t, effectsOf[sendReplicate](effects))
	harness.confirmSave()
	sent := effectsOf[sendReplicate](harness.acknowledge(otherID, harness.now))
	for _, one := range sent {
		must.False(t, one.request.Member == learnerID && one.request.Contents == nil)
	}
}

// A joint version needs a majority of each list: here the leader and the added voter are a majority of the new list alone.
func TestJointVersionNeedsAMajorityOfEachList(t *testing.T) {
	const learnerID = "d:1#0"
	harness := newSeedHarness(t)
	harness.becomeLeader()
	reply := func() {
		version := harness.machine.record.Version
		harness.step(replicateResult{
			member: learnerID, epoch: 1, sentAt: harness.now,
			reply: ReplicateReply{Ok: true, Epoch: 1, StateEpoch: version.Epoch, StateSeq: version.Seq},
		})
	}
	change := &memberChange{add: &Member{ID: learnerID, Address: "d:1"}, removeID: thirdID}
	harness.step(propose{proposal: 1, members: change})
	reply()
	must.True(t, harness.machine.record.Contents.isJoint())
	harness.confirmSave()
	reply()
	must.False(t, harness.machine.committedContents.hasVoter(learnerID))
	harness.acknowledge(otherID, harness.now)
	must.True(t, harness.machine.committedContents.hasVoter(learnerID))
}

// A member that holds a joint version needs the votes of a majority of each list.
func TestElectionInAJointVersionNeedsAMajorityOfEachList(t *testing.T) {
	const joiningID = "d:1#0"
	record := bootstrapRecord(Config{Address: selfAddress, Seeds: testSeeds, State: []byte("first")})
	record.Contents.OldMembers = record.Contents.Members
	record.Contents.Members = []Member{record.Contents.Members[0], record.Contents.Members[1], {ID: joiningID, Address: "d:1"}}
	harness := newHarness(t, record, startBootstrap)
	asked := effectsOf[sendVote](harness.step(tick{}))
	must.SliceLen(t, 3, asked)
	grant := func(identity string) []sendVote {
		request := VoteRequest{Member: identity, Epoch: 1, PreVote: true}
		return effectsOf[sendVote](harness.step(voteResult{request: request, reply: VoteReply{Granted: true}}))
	}
	must.SliceEmpty(t, grant(joiningID)) // with its own vote a majority of the new list alone
	must.SliceLen(t, 3, grant(thirdID))  // requests for the actual votes
}

// Other proposals that are committed during a membership change must not complete it.
func TestOtherProposalsDoNotEndAChangeOfMembers(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	change := &memberChange{add: &Member{ID: "d:1#0", Address: "d:1"}, removeID: thirdID}
	harness.step(propose{proposal: 1, members: change})
	harness.step(propose{proposal: 2, change: replaceBy("second")})
	harness.confirmSave()
	must.Eq(t, []proposalDone{{proposal: 2}}, effectsOf[proposalDone](harness.acknowledge(otherID, harness.now)))
	must.NotNil(t, harness.machine.leadership.pendingChange)
	must.NotNil(t, harness.machine.leadership.pendingChange.learner)
}
