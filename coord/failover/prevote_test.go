package failover

import (
	"testing"

	"github.com/shoenig/test/must"
)

// grantPreVote makes a member without a running grant answer a pre-vote.
func (harness *harness) grantPreVote(candidate string) {
	request := VoteRequest{Member: selfID, Candidate: candidate, Epoch: 1, StateEpoch: 9, PreVote: true}
	must.True(harness.t, effectsOf[answerVote](harness.step(voteCall{request: request}))[0].reply.Granted)
}

func TestGrantedPreVoteDefersOwnCampaign(t *testing.T) {
	harness := newSeedHarness(t)
	must.Zero(t, harness.machine.wakeAt(0))
	harness.grantPreVote(otherID)
	must.EqOp(t, defaultCampaignTimeout/deferDivisor, harness.machine.wakeAt(0))
}

func TestOneOfTwoCandidatesContinues(t *testing.T) {
	harness := newSeedHarness(t)
	harness.step(tick{})
	harness.grantPreVote(otherID)
	must.NotNil(t, harness.machine.campaign)
	harness.grantPreVote("0:1#0")
	must.Nil(t, harness.machine.campaign)
}

func TestStartedElectionIsNotDeferred(t *testing.T) {
	harness := newSeedHarness(t)
	harness.step(tick{})
	request := VoteRequest{Member: otherID, Epoch: 1, PreVote: true}
	harness.step(voteResult{request: request, reply: VoteReply{Granted: true}})
	ask := VoteRequest{Member: selfID, Candidate: "0:1#0", Epoch: 2, StateEpoch: 9, PreVote: true}
	must.True(t, effectsOf[answerVote](harness.step(voteCall{request: ask}))[0].reply.Granted)
	must.NotNil(t, harness.machine.campaign)
}
