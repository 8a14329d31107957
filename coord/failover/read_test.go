package failover

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

// answerRound has the other member answer a round of heartbeats.
func (bench *bench) answerRound(round uint64) []effect {
	version := bench.machine.record.Version
	return bench.step(replicateResult{
		member: otherID,
		epoch:  bench.machine.leadership.epoch,
		sentAt: bench.now,
		round:  round,
		reply:  ReplicateReply{Ok: true, Epoch: version.Epoch, StateEpoch: version.Epoch, StateSeq: version.Seq},
	})
}

func TestReadWaitsForARoundThatBeganAfterIt(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	before := bench.machine.leadership.round
	sent := only[sendReplicate](bench.step(read{read: 1}))
	must.SliceLen(t, 2, sent)
	must.EqOp(t, before+1, sent[0].round)
	must.SliceEmpty(t, only[readDone](bench.answerRound(before)))
	done := only[readDone](bench.answerRound(before + 1))
	must.Eq(t, []readDone{{read: 1}}, done)
}

func TestReadsOfOneRoundShareTheNext(t *testing.T) {
	bench := newSeedBench(t)
	bench.machine.config.queueLimit = 4
	bench.lead()
	bench.step(read{read: 1})
	round := bench.machine.leadership.round
	for number := uint64(2); number <= 4; number++ {
		must.SliceEmpty(t, only[sendReplicate](bench.step(read{read: number})))
	}
	effects := bench.answerRound(round)
	must.Eq(t, []readDone{{read: 1}}, only[readDone](effects))
	must.SliceLen(t, 2, only[sendReplicate](effects))
	must.Eq(t, []readDone{{read: 2}, {read: 3}, {read: 4}}, only[readDone](bench.answerRound(round+1)))
}

// TestOutcomeWithoutANewVersionWaitsForARound proposes what changes nothing and what is refused.
func TestOutcomeWithoutANewVersionWaitsForARound(t *testing.T) {
	refused := errors.New("refused")
	for _, outcome := range []error{nil, refused} {
		bench := newSeedBench(t)
		bench.lead()
		change := func(old []byte) ([]byte, error) { return old, outcome }
		must.SliceEmpty(t, only[proposalDone](bench.step(propose{proposal: 1, change: change})))
		round := bench.machine.leadership.round
		must.SliceEmpty(t, only[proposalDone](bench.answerRound(round-1)))
		must.Eq(t, []proposalDone{{proposal: 1, err: outcome}}, only[proposalDone](bench.answerRound(round)))
	}
}

func TestReadEndsWithTheLeadership(t *testing.T) {
	bench := newSeedBench(t)
	must.Eq(t, []readDone{{read: 1, err: NotLeaderError{}}}, only[readDone](bench.step(read{read: 1})))
	bench.lead()
	bench.step(read{read: 2})
	must.Eq(t, []readDone{{read: 2, err: NotLeaderError{}}}, only[readDone](bench.step(resign{})))
}

func TestReadsThatWaitAreBounded(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	for number := range uint64(2) {
		must.SliceEmpty(t, only[readDone](bench.step(read{read: number + 1})))
	}
	must.Eq(t, []readDone{{read: 3, err: OverloadedError{Limit: 2}}}, only[readDone](bench.step(read{read: 3})))
	cause := errors.New("given up")
	must.Eq(t, []readDone{{read: 1, err: cause}}, only[readDone](bench.step(abandon{proposal: 1, cause: cause})))
	must.SliceEmpty(t, only[readDone](bench.step(read{read: 3})))
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

// TestNodeKeepsItsVotersWhereALearnerIsBehind adds a member that nobody can reach.
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
	bench := newSeedBench(t)
	bench.lead()
	add := func(proposal uint64, id string) []proposalDone {
		change := &memberChange{add: &Member{ID: id, Address: id}}
		return only[proposalDone](bench.step(propose{proposal: proposal, members: change}))
	}
	must.SliceEmpty(t, add(1, "d:1#0"))
	must.Eq(t, []proposalDone{{proposal: 2, err: MemberChangePendingError{}}}, add(2, "e:1#0"))
	cause := errors.New("given up")
	ended := only[proposalDone](bench.step(abandon{proposal: 1, cause: cause}))
	must.Eq(t, []proposalDone{{proposal: 1, err: LearnerBehindError{Learner: "d:1#0", Cause: cause}}}, ended)
	must.SliceEmpty(t, add(3, "e:1#0"))
}

// TestLearnerIsNoVoterUntilItHoldsTheContents walks through the steps of a change at the leader.
func TestLearnerIsNoVoterUntilItHoldsTheContents(t *testing.T) {
	const learnerID, learnerAddress = "d:1#0", "d:1"
	bench := newSeedBench(t)
	bench.lead()
	reply := func(version Version) []effect {
		return bench.step(replicateResult{
			member: learnerID, epoch: 1, sentAt: bench.now,
			reply: ReplicateReply{Ok: true, Epoch: 1, StateEpoch: version.Epoch, StateSeq: version.Seq},
		})
	}
	change := &memberChange{add: &Member{ID: learnerID, Address: learnerAddress}, removeID: thirdID}
	bench.step(propose{proposal: 1, members: change})
	must.False(t, bench.machine.record.Contents.isJoint())
	withContents := only[sendReplicate](reply(Version{}))
	must.SliceLen(t, 1, withContents)
	must.NotNil(t, withContents[0].request.Contents)
	must.False(t, bench.machine.record.Contents.isJoint())
	reply(bench.machine.record.Version)
	must.True(t, bench.machine.record.Contents.isJoint())
	bench.confirm()
	must.SliceEmpty(t, only[proposalDone](bench.acknowledge(otherID, bench.now)))
	must.EqOp(t, bench.machine.record.Version, bench.machine.committedVersion) // a majority of each list has it
	must.True(t, bench.machine.record.Contents.isJoint())                      // the learner has not
	reply(bench.machine.record.Version)
	must.False(t, bench.machine.record.Contents.isJoint())
	bench.confirm()
	must.Eq(t, []proposalDone{{proposal: 1}}, only[proposalDone](bench.acknowledge(otherID, bench.now)))
	must.False(t, hasMember(bench.machine.committedContents.Members, thirdID))
}

// TestRecordOfTheFirstFormatIsRead reads what was written before records had old members.
func TestRecordOfTheFirstFormatIsRead(t *testing.T) {
	record := Record{Identity: selfID, VotedEpoch: 4, VotedFor: otherID, Version: Version{Epoch: 3, Seq: 9}}
	record.Contents = Contents{State: []byte("state"), Members: []Member{{ID: selfID, Address: selfAddress, Zone: "z"}}}
	encoded := record.Encode()
	emptyList := len(encoded) - len("state") - 1
	first := append([]byte{recordFormatSimple}, encoded[1:emptyList]...)
	decoded, err := DecodeRecord(append(first, "state"...))
	must.NoError(t, err)
	must.Eq(t, record, decoded)
	again, err := DecodeRecord(encoded)
	must.NoError(t, err)
	must.Eq(t, record, again)
}

// A learner that lacks an uncommitted version is sent nothing by its answers: the next heartbeat is soon enough.
func TestLearnerIsNotSentHeartbeatsByItsAnswers(t *testing.T) {
	const learnerID = "d:1#0"
	bench := newSeedBench(t)
	bench.lead()
	bench.step(propose{proposal: 1, members: &memberChange{add: &Member{ID: learnerID, Address: "d:1"}}})
	bench.step(propose{proposal: 2, change: replaceBy("uncommitted")})
	effects := bench.step(replicateResult{member: learnerID, epoch: 1, sentAt: bench.now, reply: ReplicateReply{Ok: true, Epoch: 1}})
	must.SliceEmpty(t, only[sendReplicate](effects))
	bench.confirm()
	sent := only[sendReplicate](bench.acknowledge(otherID, bench.now))
	for _, one := range sent {
		must.False(t, one.request.Member == learnerID && one.request.Contents == nil)
	}
}

// A joint version counts once a majority of each list has synced it: the leader and the newcomer are a majority of the new list
// alone.
func TestJointVersionNeedsAMajorityOfEachList(t *testing.T) {
	const learnerID = "d:1#0"
	bench := newSeedBench(t)
	bench.lead()
	reply := func() {
		version := bench.machine.record.Version
		bench.step(replicateResult{
			member: learnerID, epoch: 1, sentAt: bench.now,
			reply: ReplicateReply{Ok: true, Epoch: 1, StateEpoch: version.Epoch, StateSeq: version.Seq},
		})
	}
	change := &memberChange{add: &Member{ID: learnerID, Address: "d:1"}, removeID: thirdID}
	bench.step(propose{proposal: 1, members: change})
	reply()
	must.True(t, bench.machine.record.Contents.isJoint())
	bench.confirm()
	reply()
	must.False(t, bench.machine.committedContents.hasVoter(learnerID))
	bench.acknowledge(otherID, bench.now)
	must.True(t, bench.machine.committedContents.hasVoter(learnerID))
}

// A member that holds a joint version is elected by a majority of each list.
func TestElectionInAJointVersionNeedsAMajorityOfEachList(t *testing.T) {
	const newcomerID = "d:1#0"
	record := bootstrapRecord(Config{Address: selfAddress, Seeds: testSeeds, State: []byte("first")})
	record.Contents.OldMembers = record.Contents.Members
	record.Contents.Members = []Member{record.Contents.Members[0], record.Contents.Members[1], {ID: newcomerID, Address: "d:1"}}
	bench := newBench(t, record, startBootstrap)
	asked := only[sendVote](bench.step(tick{}))
	must.SliceLen(t, 3, asked)
	grant := func(identity string) []sendVote {
		request := VoteRequest{Member: identity, Epoch: 1, PreVote: true}
		return only[sendVote](bench.step(voteResult{request: request, reply: VoteReply{Granted: true}}))
	}
	must.SliceEmpty(t, grant(newcomerID)) // with its own vote a majority of the new list alone
	must.SliceLen(t, 3, grant(thirdID))   // the vote itself is asked for
}

// A change of members goes on while other proposals are committed: none of them ends it.
func TestOtherProposalsDoNotEndAChangeOfMembers(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	change := &memberChange{add: &Member{ID: "d:1#0", Address: "d:1"}, removeID: thirdID}
	bench.step(propose{proposal: 1, members: change})
	bench.step(propose{proposal: 2, change: replaceBy("second")})
	bench.confirm()
	must.Eq(t, []proposalDone{{proposal: 2}}, only[proposalDone](bench.acknowledge(otherID, bench.now)))
	must.NotNil(t, bench.machine.leadership.change)
	must.NotNil(t, bench.machine.leadership.change.learner)
}
