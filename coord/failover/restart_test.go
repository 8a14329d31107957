package failover

import (
	"testing"

	"github.com/shoenig/test/must"
)

// restartedBench drives a member whose record names a leader of epoch 3.
func restartedBench(t *testing.T, leader string) *bench {
	record := bootstrapRecord(Config{Address: selfAddress, Seeds: testSeeds, State: []byte("first")})
	record.VotedEpoch = 3
	record.VotedFor = leader
	record.Version = Version{Epoch: 3, Seq: 5}
	return newBench(t, record, startRestarted)
}

func TestRestartedWitnessVotesForItsLeader(t *testing.T) {
	bench := restartedBench(t, otherID)
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 4, StateEpoch: 3, StateSeq: 5}
	bench.step(voteCall{request: request})
	must.True(t, only[answerVote](bench.confirm())[0].reply.Granted)
	bench.now = defaultLease - 1
	must.False(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 5}))[0].reply.Granted)
	bench.now = defaultLease
	must.True(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 5, PreVote: true}))[0].reply.Granted)
}

func TestRestartedWitnessDoesNotCampaignEarly(t *testing.T) {
	bench := restartedBench(t, otherID)
	must.GreaterEq(t, defaultLease, bench.machine.wakeAt(0))
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 4, StateEpoch: 3, StateSeq: 5}
	bench.step(voteCall{request: request})
	must.GreaterEq(t, defaultLease, bench.machine.wakeAt(0))
}

func TestRestartedWitnessFollowsAnotherLeader(t *testing.T) {
	bench := restartedBench(t, otherID)
	request := ReplicateRequest{Member: selfID, Leader: thirdID, Epoch: 4, StateEpoch: 4, StateSeq: 6, SameEpoch: 3, SameSeq: 5}
	bench.step(replicateCall{request: request})
	must.True(t, only[answerReplicate](bench.confirm())[0].reply.Ok)
	vote := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 5, StateEpoch: 9}
	must.False(t, only[answerVote](bench.step(voteCall{request: vote}))[0].reply.Granted)
}

// TestLeaderIsRecordedWhereAnotherWasVotedFor covers a candidate that lost the epoch in which it had the vote.
func TestLeaderIsRecordedWhereAnotherWasVotedFor(t *testing.T) {
	bench := newSeedBench(t)
	bench.ask(VoteRequest{Member: selfID, Epoch: 1})
	bench.confirm()
	must.EqOp(t, thirdID, bench.machine.record.VotedFor)
	must.SliceEmpty(t, only[answerReplicate](bench.heartbeat(1)))
	must.EqOp(t, otherID, bench.newest.record.VotedFor)
	must.True(t, only[answerReplicate](bench.confirm())[0].reply.Ok)
}

func TestVoteForLeaderKeepsItsGrant(t *testing.T) {
	bench := newSeedBench(t)
	bench.heartbeat(1)
	bench.confirm()
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 2, StateEpoch: 9}
	bench.step(voteCall{request: request})
	must.True(t, only[answerVote](bench.confirm())[0].reply.Granted)
	must.False(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 3}))[0].reply.Granted)
	must.GreaterEq(t, defaultLease, bench.machine.wakeAt(0))
}

func TestFormerLeaderCampaignsAtOnce(t *testing.T) {
	bench := restartedBench(t, selfID)
	must.Zero(t, bench.machine.wakeAt(0))
	effects := bench.step(tick{})
	asked := only[sendVote](effects)
	must.SliceLen(t, 2, asked)
	must.True(t, asked[0].request.PreVote)
	must.EqOp(t, 4, asked[0].request.Epoch)
	told := only[sendReplicate](effects)
	must.SliceLen(t, 2, told)
	must.True(t, told[0].request.Resign)
	must.EqOp(t, 3, told[0].request.Epoch)
	must.EqOp(t, defaultCampaignTimeout/formerTermRetries, bench.machine.wakeAt(0))
}

// TestFormerLeaderTellsOfItsOldEpochOnly has a campaign of the new life fail: that epoch may not be on disk.
func TestFormerLeaderTellsOfItsOldEpochOnly(t *testing.T) {
	bench := restartedBench(t, selfID)
	bench.step(tick{})
	request := VoteRequest{Member: otherID, Epoch: 4, PreVote: true}
	bench.step(voteResult{request: request, reply: VoteReply{Granted: true}})
	bench.now = bench.machine.wakeAt(0)
	must.EqOp(t, 3, only[sendReplicate](bench.step(tick{}))[0].request.Epoch)
	bench.now = defaultLease
	must.SliceEmpty(t, only[sendReplicate](bench.step(tick{})))
}

func TestFormerLeaderVotesForAnother(t *testing.T) {
	bench := restartedBench(t, selfID)
	bench.ask(VoteRequest{Member: selfID, Epoch: 4})
	must.True(t, only[answerVote](bench.confirm())[0].reply.Granted)
	bench.now = bench.machine.wakeAt(0)
	must.SliceEmpty(t, only[sendReplicate](bench.step(tick{})))
}

// TestRestartOfLeaderFreesVotes covers running and restarted witnesses.
func TestRestartOfLeaderFreesVotes(t *testing.T) {
	running := newSeedBench(t)
	running.heartbeat(3)
	running.confirm()
	for _, bench := range []*bench{running, restartedBench(t, otherID)} {
		over := ReplicateRequest{Member: selfID, Leader: otherID, Epoch: 3, Resign: true}
		ask := VoteRequest{Member: selfID, Epoch: 4, PreVote: true}
		must.False(t, only[answerVote](bench.ask(ask))[0].reply.Granted)
		bench.step(replicateCall{request: over})
		must.Zero(t, bench.machine.wakeAt(0))
		must.True(t, only[answerVote](bench.ask(ask))[0].reply.Granted)
	}
}

// TestOldEndOfLeaderFreesNothing covers a message that was held up until its sender led again.
func TestOldEndOfLeaderFreesNothing(t *testing.T) {
	bench := newSeedBench(t)
	bench.heartbeat(3)
	bench.confirm()
	bench.step(replicateCall{request: ReplicateRequest{Member: selfID, Leader: otherID, Epoch: 2, Resign: true}})
	ask := VoteRequest{Member: selfID, Epoch: 4, PreVote: true}
	must.False(t, only[answerVote](bench.ask(ask))[0].reply.Granted)
}
