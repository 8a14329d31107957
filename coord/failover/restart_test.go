package failover

import (
	"testing"

	"github.com/shoenig/test/must"
)

// newRestartedHarness returns a member whose record names the given leader of epoch 3.
func newRestartedHarness(t *testing.T, leader string) *harness {
	record := bootstrapRecord(Config{Address: selfAddress, Seeds: testSeeds, State: []byte("first")})
	record.VotedEpoch = 3
	record.VotedFor = leader
	record.Version = Version{Epoch: 3, Seq: 5}
	return newHarness(t, record, startRestarted)
}

func TestRestartedVoterVotesForItsLeader(t *testing.T) {
	harness := newRestartedHarness(t, otherID)
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 4, StateEpoch: 3, StateSeq: 5}
	harness.step(voteCall{request: request})
	must.True(t, effectsOf[answerVote](harness.confirmSave())[0].reply.Granted)
	harness.now = defaultLease - 1
	must.False(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 5}))[0].reply.Granted)
	harness.now = defaultLease
	must.True(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 5, PreVote: true}))[0].reply.Granted)
}

func TestRestartedVoterDoesNotCampaignEarly(t *testing.T) {
	harness := newRestartedHarness(t, otherID)
	must.GreaterEq(t, defaultLease, harness.machine.wakeAt(0))
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 4, StateEpoch: 3, StateSeq: 5}
	harness.step(voteCall{request: request})
	must.GreaterEq(t, defaultLease, harness.machine.wakeAt(0))
}

func TestRestartedVoterFollowsAnotherLeader(t *testing.T) {
	harness := newRestartedHarness(t, otherID)
	request := ReplicateRequest{Member: selfID, Leader: thirdID, Epoch: 4, StateEpoch: 4, StateSeq: 6, SameEpoch: 3, SameSeq: 5}
	harness.step(replicateCall{request: request})
	must.True(t, effectsOf[answerReplicate](harness.confirmSave())[0].reply.Ok)
	vote := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 5, StateEpoch: 9}
	must.False(t, effectsOf[answerVote](harness.step(voteCall{request: vote}))[0].reply.Granted)
}

// TestLeaderIsRecordedWhereAnotherWasVotedFor checks that the leader of an epoch is recorded although this member voted for
// another candidate in it.
func TestLeaderIsRecordedWhereAnotherWasVotedFor(t *testing.T) {
	harness := newSeedHarness(t)
	harness.ask(VoteRequest{Member: selfID, Epoch: 1})
	harness.confirmSave()
	must.EqOp(t, thirdID, harness.machine.record.VotedFor)
	must.SliceEmpty(t, effectsOf[answerReplicate](harness.receiveHeartbeat(1)))
	must.EqOp(t, otherID, harness.newest.record.VotedFor)
	must.True(t, effectsOf[answerReplicate](harness.confirmSave())[0].reply.Ok)
}

func TestVoteForLeaderKeepsItsGrant(t *testing.T) {
	harness := newSeedHarness(t)
	harness.receiveHeartbeat(1)
	harness.confirmSave()
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 2, StateEpoch: 9}
	harness.step(voteCall{request: request})
	must.True(t, effectsOf[answerVote](harness.confirmSave())[0].reply.Granted)
	must.False(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 3}))[0].reply.Granted)
	must.GreaterEq(t, defaultLease, harness.machine.wakeAt(0))
}

func TestFormerLeaderCampaignsAtOnce(t *testing.T) {
	harness := newRestartedHarness(t, selfID)
	must.Zero(t, harness.machine.wakeAt(0))
	effects := harness.step(tick{})
	asked := effectsOf[sendVote](effects)
	must.SliceLen(t, 2, asked)
	must.True(t, asked[0].request.PreVote)
	must.EqOp(t, 4, asked[0].request.Epoch)
	announced := effectsOf[sendReplicate](effects)
	must.SliceLen(t, 2, announced)
	must.True(t, announced[0].request.Resign)
	must.EqOp(t, 3, announced[0].request.Epoch)
	must.EqOp(t, defaultCampaignTimeout/restartCampaignsPerTimeout, harness.machine.wakeAt(0))
}

// TestFormerLeaderAnnouncesOnlyItsRecordedEpoch checks that a restarted leader announces the end of the epoch in its record, and not
// that of a failed campaign since the restart, whose epoch may not be on disk.
func TestFormerLeaderAnnouncesOnlyItsRecordedEpoch(t *testing.T) {
	harness := newRestartedHarness(t, selfID)
	harness.step(tick{})
	request := VoteRequest{Member: otherID, Epoch: 4, PreVote: true}
	harness.step(voteResult{request: request, reply: VoteReply{Granted: true}})
	harness.now = harness.machine.wakeAt(0)
	must.EqOp(t, 3, effectsOf[sendReplicate](harness.step(tick{}))[0].request.Epoch)
	harness.now = defaultLease
	must.SliceEmpty(t, effectsOf[sendReplicate](harness.step(tick{})))
}

func TestFormerLeaderVotesForAnother(t *testing.T) {
	harness := newRestartedHarness(t, selfID)
	harness.ask(VoteRequest{Member: selfID, Epoch: 4})
	must.True(t, effectsOf[answerVote](harness.confirmSave())[0].reply.Granted)
	harness.now = harness.machine.wakeAt(0)
	must.SliceEmpty(t, effectsOf[sendReplicate](harness.step(tick{})))
}

// TestRestartOfLeaderReleasesGrants checks that a restarted leader's announcement releases the grants of running and restarted
// voters.
func TestRestartOfLeaderReleasesGrants(t *testing.T) {
	running := newSeedHarness(t)
	running.receiveHeartbeat(3)
	running.confirmSave()
	for _, harness := range []*harness{running, newRestartedHarness(t, otherID)} {
		over := ReplicateRequest{Member: selfID, Leader: otherID, Epoch: 3, Resign: true}
		ask := VoteRequest{Member: selfID, Epoch: 4, PreVote: true}
		must.False(t, effectsOf[answerVote](harness.ask(ask))[0].reply.Granted)
		harness.step(replicateCall{request: over})
		must.Zero(t, harness.machine.wakeAt(0))
		must.True(t, effectsOf[answerVote](harness.ask(ask))[0].reply.Granted)
	}
}

// TestDelayedResignationReleasesNoGrant checks that a resignation that is delayed until its sender leads again releases nothing.
func TestDelayedResignationReleasesNoGrant(t *testing.T) {
	harness := newSeedHarness(t)
	harness.receiveHeartbeat(3)
	harness.confirmSave()
	harness.step(replicateCall{request: ReplicateRequest{Member: selfID, Leader: otherID, Epoch: 2, Resign: true}})
	ask := VoteRequest{Member: selfID, Epoch: 4, PreVote: true}
	must.False(t, effectsOf[answerVote](harness.ask(ask))[0].reply.Granted)
}
