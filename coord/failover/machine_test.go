package failover

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	selfAddress  = "a:1"
	otherAddress = "b:1"
	thirdAddress = "c:1"
)

var (
	selfID  = seedIdentity(selfAddress)
	otherID = seedIdentity(otherAddress)
	thirdID = seedIdentity(thirdAddress)
)

// harness drives one machine step by step. Saves are confirmed only by confirmSave.
type harness struct {
	t       *testing.T
	machine *machine
	now     time.Duration
	effects []effect // of the last input
	newest  *persist
}

func newHarness(t *testing.T, record Record, kind startKind) *harness {
	config := machineConfig{address: selfAddress, queueLimit: 2, random: func(int64) int64 { return 0 }}
	created, effects := newMachine(config, record, kind, 0)
	driven := &harness{t: t, machine: created}
	driven.recordEffects(effects)
	driven.confirmSave()
	return driven
}

func newSeedHarness(t *testing.T) *harness {
	record := bootstrapRecord(Config{Address: selfAddress, Seeds: testSeeds, State: []byte("first")})
	return newHarness(t, record, startBootstrap)
}

func (harness *harness) recordEffects(effects []effect) {
	harness.effects = effects
	for _, requested := range effects {
		if save, isSave := requested.(persist); isSave {
			harness.newest = &save
		}
	}
}

func (harness *harness) step(event input) []effect {
	harness.recordEffects(harness.machine.step(harness.now, event))
	return harness.effects
}

func (harness *harness) confirmSave() []effect {
	if harness.newest == nil {
		return nil
	}
	point := harness.newest.point
	harness.newest = nil
	return harness.step(persisted{point: point})
}

func effectsOf[Wanted effect](effects []effect) []Wanted {
	var found []Wanted
	for _, one := range effects {
		if match, isMatch := one.(Wanted); isMatch {
			found = append(found, match)
		}
	}
	return found
}

// becomeLeader makes the machine the leader of epoch 1, with the votes and acknowledgements of one other member.
func (harness *harness) becomeLeader() {
	for _, askOnly := range []bool{true, false} {
		if askOnly {
			harness.step(tick{})
		}
		request := VoteRequest{Member: otherID, Epoch: 1, PreVote: askOnly}
		harness.step(voteResult{request: request, reply: VoteReply{Granted: true}})
	}
	harness.confirmSave()
	harness.confirmSave()
	harness.acknowledge(otherID, harness.now)
	must.Positive(harness.t, harness.machine.servesUntil(harness.now))
}

// acknowledge reports that a member has synced the newest version.
func (harness *harness) acknowledge(identity string, sentAt time.Duration) []effect {
	version := harness.machine.record.Version
	return harness.step(replicateResult{
		member: identity,
		epoch:  harness.machine.leadership.epoch,
		sentAt: sentAt,
		reply:  ReplicateReply{Ok: true, Epoch: version.Epoch, StateEpoch: version.Epoch, StateSeq: version.Seq},
	})
}

func (harness *harness) receiveHeartbeat(epoch uint64) []effect {
	request := ReplicateRequest{
		Member:     selfID,
		Leader:     otherID,
		Epoch:      epoch,
		StateEpoch: epoch,
		StateSeq:   2,
		SameSeq:    bootstrapVersion.Seq,
	}
	return harness.step(replicateCall{request: request})
}

func (harness *harness) ask(request VoteRequest) []effect {
	request.Candidate = thirdID
	if request.StateEpoch == 0 {
		request.StateEpoch = 9
	}
	return harness.step(voteCall{request: request})
}

func TestVoteWaitsForSync(t *testing.T) {
	harness := newSeedHarness(t)
	must.SliceEmpty(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 1})))
	answers := effectsOf[answerVote](harness.confirmSave())
	must.SliceLen(t, 1, answers)
	must.True(t, answers[0].reply.Granted)
}

func TestVoteOncePerEpoch(t *testing.T) {
	harness := newSeedHarness(t)
	harness.ask(VoteRequest{Member: selfID, Epoch: 1})
	harness.confirmSave()
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 1, StateEpoch: 9}
	must.False(t, effectsOf[answerVote](harness.step(voteCall{request: request}))[0].reply.Granted)
}

func TestPreVoteRecordsNothing(t *testing.T) {
	harness := newSeedHarness(t)
	answers := effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 7, PreVote: true}))
	must.True(t, answers[0].reply.Granted)
	must.Zero(t, harness.machine.record.VotedEpoch)
	must.Nil(t, harness.newest)
}

func TestVoteForAnotherIdentity(t *testing.T) {
	harness := newSeedHarness(t)
	reply := effectsOf[answerVote](harness.ask(VoteRequest{Member: selfAddress + "#old", Epoch: 1}))[0].reply
	must.True(t, reply.NotMember)
	must.False(t, reply.Granted)
}

func TestNoVoteDuringGrant(t *testing.T) {
	harness := newSeedHarness(t)
	harness.receiveHeartbeat(1)
	harness.confirmSave()
	harness.now = defaultLease - 1
	must.False(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 2}))[0].reply.Granted)
	harness.now = defaultLease
	harness.ask(VoteRequest{Member: selfID, Epoch: 2})
	must.True(t, effectsOf[answerVote](harness.confirmSave())[0].reply.Granted)
}

// A lease that this member wouldn't wait out after a restart must not be granted.
func TestLeaseLongerThanAnyKnownIsNotGranted(t *testing.T) {
	harness := newSeedHarness(t)
	request := ReplicateRequest{Member: selfID, Leader: "other", Epoch: 1, Lease: defaultLease + 1}
	must.False(t, effectsOf[answerReplicate](harness.step(replicateCall{call: 1, request: request}))[0].reply.Ok)
	request.Lease = defaultLease
	must.SliceEmpty(t, effectsOf[answerReplicate](harness.step(replicateCall{call: 2, request: request})))
	must.True(t, effectsOf[answerReplicate](harness.confirmSave())[0].reply.Ok)
}

// A leader whose requests don't report its lease is assumed to rely on the longest one.
func TestUnreportedLeaseIsAssumedToBeTheLongest(t *testing.T) {
	harness := newSeedHarness(t)
	harness.machine.config.timing.LongestLease = 2 * defaultLease
	harness.receiveHeartbeat(1)
	harness.confirmSave()
	harness.now = 2*defaultLease - 1
	must.False(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 2}))[0].reply.Granted)
}

func TestNoVoteAfterRestart(t *testing.T) {
	record := Record{Identity: selfID, VotedEpoch: 3, Version: Version{Epoch: 3, Seq: 5}}
	harness := newHarness(t, record, startRestarted)
	harness.now = defaultLease - 1
	must.False(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 4}))[0].reply.Granted)
	harness.now = defaultLease
	harness.ask(VoteRequest{Member: selfID, Epoch: 4})
	must.True(t, effectsOf[answerVote](harness.confirmSave())[0].reply.Granted)
}

// A grant that a member has forgotten may be as long as the longest lease of any member, whatever its own lease is.
func TestMemberWaitsOutTheLongestLeaseThatItMayHaveForgotten(t *testing.T) {
	timing := Timing{LongestLease: 2 * defaultLease}
	for kind, record := range map[startKind]Record{
		startRestarted: {Identity: selfID, VotedEpoch: 3, VotedFor: otherID, Version: Version{Epoch: 3, Seq: 5}},
		startJoining:   {Identity: selfID},
	} {
		started, _ := newMachine(machineConfig{address: selfAddress, timing: timing, random: func(int64) int64 { return 0 }}, record, kind, 0)
		must.Eq(t, timing.LongestLease, started.grant.expiresAt)
		if kind == startJoining {
			must.Eq(t, timing.LongestLease, started.ackAfter)
		}
	}
}

func TestNoVoteForOlderVersion(t *testing.T) {
	record := Record{Identity: selfID, VotedEpoch: 3, Version: Version{Epoch: 3, Seq: 5}}
	harness := newHarness(t, record, startRestarted)
	harness.now = defaultLease
	request := VoteRequest{Member: selfID, Epoch: 4, StateEpoch: 3, StateSeq: 4}
	must.False(t, effectsOf[answerVote](harness.ask(request))[0].reply.Granted)
}

func TestJoiningWaitsBeforeItAcknowledges(t *testing.T) {
	harness := newHarness(t, Record{Identity: selfID}, startJoining)
	must.False(t, effectsOf[answerReplicate](harness.receiveHeartbeat(1))[0].reply.Ok)
	harness.now = defaultLease
	must.SliceEmpty(t, effectsOf[answerReplicate](harness.receiveHeartbeat(1)))
	must.True(t, effectsOf[answerReplicate](harness.confirmSave())[0].reply.Ok)
}

func TestAcknowledgementWaitsForSync(t *testing.T) {
	harness := newSeedHarness(t)
	must.SliceEmpty(t, effectsOf[answerReplicate](harness.receiveHeartbeat(1)))
	reply := effectsOf[answerReplicate](harness.confirmSave())[0].reply
	must.Eq(t, ReplicateReply{Ok: true, Epoch: 1, StateEpoch: 1, StateSeq: 2}, reply)
}

func TestLowerEpochIsRefused(t *testing.T) {
	harness := newSeedHarness(t)
	harness.receiveHeartbeat(2)
	harness.confirmSave()
	reply := effectsOf[answerReplicate](harness.receiveHeartbeat(1))[0].reply
	must.False(t, reply.Ok)
	must.EqOp(t, 2, reply.Epoch)
}

func TestLeaderStopsBeforeGrantsEnd(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.step(propose{proposal: 1, change: replaceBy("second")})
	harness.step(propose{proposal: 2, change: replaceBy("third")})
	harness.now = defaultLease - defaultMargin
	effects := harness.step(tick{})
	must.SliceLen(t, 1, effectsOf[steppedDown](effects))
	done := effectsOf[proposalDone](effects)
	must.SliceLen(t, 2, done)
	must.True(t, errors.As(done[0].err, &OutcomeUnknownError{}))
	must.True(t, errors.As(done[1].err, &NotLeaderError{}))
}

func TestLeaseRunsFromSending(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.now = 400 * time.Millisecond
	harness.acknowledge(thirdID, 250*time.Millisecond)
	must.EqOp(t, 250*time.Millisecond+defaultLease-defaultMargin, harness.machine.servesUntil(harness.now))
}

func TestCommitWithoutOwnSync(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.step(propose{proposal: 1, change: replaceBy("second")})
	must.SliceEmpty(t, effectsOf[proposalDone](harness.acknowledge(otherID, 0)))
	done := effectsOf[proposalDone](harness.acknowledge(thirdID, 0))
	must.SliceLen(t, 1, done)
	must.NoError(t, done[0].err)
}

func TestRemovalNeedsOldMajority(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.step(propose{proposal: 1, members: &memberChange{removeID: thirdID}})
	must.SliceEmpty(t, effectsOf[proposalDone](harness.confirmSave()))
	must.SliceEmpty(t, effectsOf[proposalDone](harness.acknowledge(otherID, 0)))
	must.SliceLen(t, 3, harness.machine.committedContents.OldMembers)
	must.SliceEmpty(t, effectsOf[proposalDone](harness.confirmSave()))
	must.SliceLen(t, 1, effectsOf[proposalDone](harness.acknowledge(otherID, 0)))
	must.SliceLen(t, 2, harness.machine.committedContents.Members)
	must.False(t, harness.machine.committedContents.isJoint())
}

// A removed leader must not write the version whose list doesn't name it.
func TestRemovedLeaderResignsInTheJointVersion(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.step(propose{proposal: 1, members: &memberChange{removeID: selfID}})
	harness.confirmSave()
	harness.acknowledge(otherID, 0)
	done := effectsOf[proposalDone](harness.acknowledge(thirdID, 0))
	must.SliceLen(t, 1, done)
	must.True(t, errors.As(done[0].err, &OutcomeUnknownError{}))
	must.Nil(t, harness.machine.leadership)
	must.True(t, harness.machine.record.Contents.isJoint())
}

func TestLastMemberCannotBeRemoved(t *testing.T) {
	_, err := memberChange{removeID: selfID}.apply([]Member{{ID: selfID, Address: selfAddress}})
	must.True(t, errors.As(err, &InvalidMembersError{}))
}

func TestQueueIsBounded(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	for proposal := range uint64(3) {
		must.SliceEmpty(t, effectsOf[proposalDone](harness.step(propose{proposal: proposal, change: replaceBy("second")})))
	}
	done := effectsOf[proposalDone](harness.step(propose{proposal: 3, change: replaceBy("third")}))
	must.Eq(t, []proposalDone{{proposal: 3, err: OverloadedError{Limit: 2}}}, done)
}

func TestAbandonedWhileWaiting(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.step(propose{proposal: 1, change: replaceBy("second")})
	harness.step(propose{proposal: 2, change: replaceBy("third")})
	cause := errors.New("given up")
	must.Eq(t, []proposalDone{{proposal: 2, err: cause}}, effectsOf[proposalDone](harness.step(abandon{proposal: 2, cause: cause})))
	begun := effectsOf[proposalDone](harness.step(abandon{proposal: 1, cause: cause}))
	must.True(t, errors.As(begun[0].err, &OutcomeUnknownError{}))
}

func TestContentsAreSentOnlyIfMissing(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	harness.now = defaultHeartbeat
	for _, sent := range effectsOf[sendReplicate](harness.step(tick{})) {
		must.Nil(t, sent.request.Contents)
	}
	reply := ReplicateReply{Ok: true, Epoch: 1}
	sent := effectsOf[sendReplicate](harness.step(replicateResult{member: thirdID, epoch: 1, sentAt: harness.now, reply: reply}))
	must.SliceLen(t, 1, sent)
	must.EqOp(t, thirdID, sent[0].request.Member)
	must.NotNil(t, sent[0].request.Contents)
}

// After a restart of a member, the leader must not wait for a transfer of contents to the previous process, and its late
// failure must not affect the new transfer.
func TestRestartedMemberIsSentTheContentsAtOnce(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	heartbeat := func() uint64 {
		harness.now += defaultHeartbeat
		harness.acknowledge(otherID, harness.now)
		harness.step(tick{})
		harness.acknowledge(otherID, harness.now)
		return harness.machine.leadership.round
	}
	answer := func(round, incarnation uint64) []sendReplicate {
		reply := ReplicateReply{Ok: true, Epoch: 1, Incarnation: incarnation}
		return effectsOf[sendReplicate](harness.step(replicateResult{member: thirdID, epoch: 1, sentAt: harness.now, round: round, reply: reply}))
	}
	before := heartbeat()
	transfer := answer(before, 1)
	must.SliceLen(t, 1, transfer)
	must.NotNil(t, transfer[0].request.Contents)
	must.SliceEmpty(t, answer(heartbeat(), 1)) // the transfer is in progress
	again := answer(heartbeat(), 2)
	must.SliceLen(t, 1, again)
	must.NotNil(t, again[0].request.Contents)
	must.SliceEmpty(t, answer(before, 1)) // delayed answer of the previous process
	harness.step(replicateResult{member: thirdID, epoch: 1, round: transfer[0].round, withContents: true, failed: true})
	must.SliceEmpty(t, answer(heartbeat(), 2)) // the second transfer is still in progress
}

// A transfer that times out doubles the timeout of the next one, also if its failure is reported after the next one has
// started.
func TestTimedOutTransferDoublesTheNextTimeout(t *testing.T) {
	harness := newSeedHarness(t)
	harness.becomeLeader()
	transfersAfterHeartbeat := func() []sendReplicate {
		harness.acknowledge(otherID, harness.now)
		sent := effectsOf[sendReplicate](harness.step(tick{}))
		reply := ReplicateReply{Ok: true, Epoch: 1, Incarnation: 1}
		round := harness.machine.leadership.round
		answered := replicateResult{member: thirdID, epoch: 1, sentAt: harness.now, round: round, reply: reply}
		sent = append(sent, effectsOf[sendReplicate](harness.step(answered))...)
		return slices.DeleteFunc(sent, func(one sendReplicate) bool { return one.request.Member != thirdID || one.request.Contents == nil })
	}
	var before sendReplicate
	for timeout := defaultContentsTimeout; timeout <= defaultContentsTimeout<<maxTimeoutDoublings; timeout *= 2 {
		transfers := transfersAfterHeartbeat()
		must.SliceLen(t, 1, transfers)
		must.EqOp(t, timeout, transfers[0].timeout)
		harness.step(replicateResult{member: thirdID, epoch: 1, round: before.round, withContents: true, failed: true})
		before = transfers[0]
		for waited := time.Duration(0); waited < timeout; waited += defaultHeartbeat {
			harness.now += defaultHeartbeat
			harness.acknowledge(otherID, harness.now)
		}
	}
}

func TestResignationReleasesGrant(t *testing.T) {
	harness := newSeedHarness(t)
	harness.receiveHeartbeat(1)
	harness.confirmSave()
	resigned := ReplicateRequest{Member: selfID, Leader: otherID, Epoch: 1, Resign: true}
	harness.step(replicateCall{request: resigned})
	must.True(t, effectsOf[answerVote](harness.ask(VoteRequest{Member: selfID, Epoch: 2, PreVote: true}))[0].reply.Granted)
}

// While a version is joint, the previous list counts as well, so the status must report the change to operators.
func TestStatusReportsMembershipChange(t *testing.T) {
	members := []Member{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}
	record := Record{Identity: "a", Contents: Contents{Members: members}}
	config := machineConfig{address: "a:1", random: func(int64) int64 { return 0 }}
	settled, _ := newMachine(config, record, startRestarted, 0)
	must.False(t, settled.status(0).MembershipChanging)
	record.Contents.OldMembers = append([]Member{{ID: "d", Address: "d:1"}}, members[1:]...)
	joint, _ := newMachine(config, record, startRestarted, 0)
	must.True(t, joint.status(0).MembershipChanging)
}
