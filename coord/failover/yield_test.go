package failover

import (
	"testing"

	"github.com/shoenig/test/must"
)

// grantPreVote has a member without a grant answer a pre-vote.
func (bench *bench) grantPreVote(candidate string) {
	request := VoteRequest{Member: selfID, Candidate: candidate, Epoch: 1, StateEpoch: 9, PreVote: true}
	must.True(bench.t, only[answerVote](bench.step(voteCall{request: request}))[0].reply.Granted)
}

func TestGrantedPreVotePutsTheOwnCampaignOff(t *testing.T) {
	bench := newSeedBench(t)
	must.Zero(t, bench.machine.wakeAt(0))
	bench.grantPreVote(otherID)
	must.EqOp(t, defaultCampaignTimeout/yieldDivisor, bench.machine.wakeAt(0))
}

func TestOneOfTwoCandidatesGoesOn(t *testing.T) {
	bench := newSeedBench(t)
	bench.step(tick{})
	bench.grantPreVote(otherID)
	must.NotNil(t, bench.machine.campaign)
	bench.grantPreVote("0:1#0")
	must.Nil(t, bench.machine.campaign)
}

func TestVotedCandidateDoesNotYield(t *testing.T) {
	bench := newSeedBench(t)
	bench.step(tick{})
	request := VoteRequest{Member: otherID, Epoch: 1, PreVote: true}
	bench.step(voteResult{request: request, reply: VoteReply{Granted: true}})
	ask := VoteRequest{Member: selfID, Candidate: "0:1#0", Epoch: 2, StateEpoch: 9, PreVote: true}
	must.True(t, only[answerVote](bench.step(voteCall{request: ask}))[0].reply.Granted)
	must.NotNil(t, bench.machine.campaign)
}
