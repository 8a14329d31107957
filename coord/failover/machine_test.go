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

// bench drives one machine by hand. Saves are confirmed by confirm only.
type bench struct {
	t       *testing.T
	machine *machine
	now     time.Duration
	effects []effect // of the last input
	newest  *persist
}

func newBench(t *testing.T, record Record, kind startKind) *bench {
	config := machineConfig{address: selfAddress, queueLimit: 2, random: func(int64) int64 { return 0 }}
	created, effects := newMachine(config, record, kind, 0)
	driven := &bench{t: t, machine: created}
	driven.take(effects)
	driven.confirm()
	return driven
}

func newSeedBench(t *testing.T) *bench {
	record := bootstrapRecord(Config{Address: selfAddress, Seeds: testSeeds, State: []byte("first")})
	return newBench(t, record, startBootstrap)
}

func (bench *bench) take(effects []effect) {
	bench.effects = effects
	for _, wanted := range effects {
		if save, isSave := wanted.(persist); isSave {
			bench.newest = &save
		}
	}
}

func (bench *bench) step(taken input) []effect {
	bench.take(bench.machine.step(bench.now, taken))
	return bench.effects
}

func (bench *bench) confirm() []effect {
	if bench.newest == nil {
		return nil
	}
	point := bench.newest.point
	bench.newest = nil
	return bench.step(persisted{point: point})
}

func only[Wanted effect](effects []effect) []Wanted {
	var found []Wanted
	for _, one := range effects {
		if wanted, isWanted := one.(Wanted); isWanted {
			found = append(found, wanted)
		}
	}
	return found
}

// lead makes the machine the leader of epoch 1, with the grant and the sync of the other member.
func (bench *bench) lead() {
	for _, askOnly := range []bool{true, false} {
		if askOnly {
			bench.step(tick{})
		}
		request := VoteRequest{Member: otherID, Epoch: 1, PreVote: askOnly}
		bench.step(voteResult{request: request, reply: VoteReply{Granted: true}})
	}
	bench.confirm()
	bench.confirm()
	bench.acknowledge(otherID, bench.now)
	must.Positive(bench.t, bench.machine.servesUntil(bench.now))
}

// acknowledge tells that a member has synced the newest version.
func (bench *bench) acknowledge(identity string, sentAt time.Duration) []effect {
	version := bench.machine.record.Version
	return bench.step(replicateResult{
		member: identity,
		epoch:  bench.machine.leadership.epoch,
		sentAt: sentAt,
		reply:  ReplicateReply{Ok: true, Epoch: version.Epoch, StateEpoch: version.Epoch, StateSeq: version.Seq},
	})
}

func (bench *bench) heartbeat(epoch uint64) []effect {
	request := ReplicateRequest{
		Member:     selfID,
		Leader:     otherID,
		Epoch:      epoch,
		StateEpoch: epoch,
		StateSeq:   2,
		SameSeq:    bootstrapVersion.Seq,
	}
	return bench.step(replicateCall{request: request})
}

func (bench *bench) ask(request VoteRequest) []effect {
	request.Candidate = thirdID
	if request.StateEpoch == 0 {
		request.StateEpoch = 9
	}
	return bench.step(voteCall{request: request})
}

func TestVoteWaitsForSync(t *testing.T) {
	bench := newSeedBench(t)
	must.SliceEmpty(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 1})))
	answers := only[answerVote](bench.confirm())
	must.SliceLen(t, 1, answers)
	must.True(t, answers[0].reply.Granted)
}

func TestVoteOncePerEpoch(t *testing.T) {
	bench := newSeedBench(t)
	bench.ask(VoteRequest{Member: selfID, Epoch: 1})
	bench.confirm()
	request := VoteRequest{Member: selfID, Candidate: otherID, Epoch: 1, StateEpoch: 9}
	must.False(t, only[answerVote](bench.step(voteCall{request: request}))[0].reply.Granted)
}

func TestAskOnlyRecordsNothing(t *testing.T) {
	bench := newSeedBench(t)
	answers := only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 7, PreVote: true}))
	must.True(t, answers[0].reply.Granted)
	must.Zero(t, bench.machine.record.VotedEpoch)
	must.Nil(t, bench.newest)
}

func TestVoteForAnotherIdentity(t *testing.T) {
	bench := newSeedBench(t)
	reply := only[answerVote](bench.ask(VoteRequest{Member: selfAddress + "#old", Epoch: 1}))[0].reply
	must.True(t, reply.NotMember)
	must.False(t, reply.Granted)
}

func TestNoVoteDuringGrant(t *testing.T) {
	bench := newSeedBench(t)
	bench.heartbeat(1)
	bench.confirm()
	bench.now = defaultLease - 1
	must.False(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 2}))[0].reply.Granted)
	bench.now = defaultLease
	bench.ask(VoteRequest{Member: selfID, Epoch: 2})
	must.True(t, only[answerVote](bench.confirm())[0].reply.Granted)
}

// A lease that this member would not wait out after a restart is not granted.
func TestLeaseLongerThanAnyKnownIsNotGranted(t *testing.T) {
	bench := newSeedBench(t)
	request := ReplicateRequest{Member: selfID, Leader: "other", Epoch: 1, Lease: defaultLease + 1}
	must.False(t, only[answerReplicate](bench.step(replicateCall{call: 1, request: request}))[0].reply.Ok)
	request.Lease = defaultLease
	must.SliceEmpty(t, only[answerReplicate](bench.step(replicateCall{call: 2, request: request})))
	must.True(t, only[answerReplicate](bench.confirm())[0].reply.Ok)
}

// A leader of a version that does not tell its lease counts on the longest that is known.
func TestLeaseThatIsNotToldIsTheLongest(t *testing.T) {
	bench := newSeedBench(t)
	bench.machine.config.timing.LongestLease = 2 * defaultLease
	bench.heartbeat(1)
	bench.confirm()
	bench.now = 2*defaultLease - 1
	must.False(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 2}))[0].reply.Granted)
}

func TestNoVoteAfterRestart(t *testing.T) {
	record := Record{Identity: selfID, VotedEpoch: 3, Version: Version{Epoch: 3, Seq: 5}}
	bench := newBench(t, record, startRestarted)
	bench.now = defaultLease - 1
	must.False(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 4}))[0].reply.Granted)
	bench.now = defaultLease
	bench.ask(VoteRequest{Member: selfID, Epoch: 4})
	must.True(t, only[answerVote](bench.confirm())[0].reply.Granted)
}

// What a member has forgotten may have been granted for as long as any version counts on, whatever its own does.
func TestMemberWaitsOutTheLongestLeaseThatItMayHaveForgotten(t *testing.T) {
	timing := Timing{LongestLease: 2 * defaultLease}
	for kind, record := range map[startKind]Record{
		startRestarted: {Identity: selfID, VotedEpoch: 3, VotedFor: otherID, Version: Version{Epoch: 3, Seq: 5}},
		startJoining:   {Identity: selfID},
	} {
		started, _ := newMachine(machineConfig{address: selfAddress, timing: timing, random: func(int64) int64 { return 0 }}, record, kind, 0)
		must.Eq(t, timing.LongestLease, started.grant.ends)
		if kind == startJoining {
			must.Eq(t, timing.LongestLease, started.ackAfter)
		}
	}
}

func TestNoVoteForOlderVersion(t *testing.T) {
	record := Record{Identity: selfID, VotedEpoch: 3, Version: Version{Epoch: 3, Seq: 5}}
	bench := newBench(t, record, startRestarted)
	bench.now = defaultLease
	request := VoteRequest{Member: selfID, Epoch: 4, StateEpoch: 3, StateSeq: 4}
	must.False(t, only[answerVote](bench.ask(request))[0].reply.Granted)
}

func TestJoiningWaitsBeforeItAcknowledges(t *testing.T) {
	bench := newBench(t, Record{Identity: selfID}, startJoining)
	must.False(t, only[answerReplicate](bench.heartbeat(1))[0].reply.Ok)
	bench.now = defaultLease
	must.SliceEmpty(t, only[answerReplicate](bench.heartbeat(1)))
	must.True(t, only[answerReplicate](bench.confirm())[0].reply.Ok)
}

func TestAcknowledgementWaitsForSync(t *testing.T) {
	bench := newSeedBench(t)
	must.SliceEmpty(t, only[answerReplicate](bench.heartbeat(1)))
	reply := only[answerReplicate](bench.confirm())[0].reply
	must.Eq(t, ReplicateReply{Ok: true, Epoch: 1, StateEpoch: 1, StateSeq: 2}, reply)
}

func TestLowerEpochIsRefused(t *testing.T) {
	bench := newSeedBench(t)
	bench.heartbeat(2)
	bench.confirm()
	reply := only[answerReplicate](bench.heartbeat(1))[0].reply
	must.False(t, reply.Ok)
	must.EqOp(t, 2, reply.Epoch)
}

func TestLeaderStopsBeforeGrantsEnd(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	bench.step(propose{proposal: 1, change: replaceBy("second")})
	bench.step(propose{proposal: 2, change: replaceBy("third")})
	bench.now = defaultLease - defaultMargin
	effects := bench.step(tick{})
	must.SliceLen(t, 1, only[steppedDown](effects))
	done := only[proposalDone](effects)
	must.SliceLen(t, 2, done)
	must.True(t, errors.As(done[0].err, &OutcomeUnknownError{}))
	must.True(t, errors.As(done[1].err, &NotLeaderError{}))
}

func TestLeaseRunsFromSending(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	bench.now = 400 * time.Millisecond
	bench.acknowledge(thirdID, 250*time.Millisecond)
	must.EqOp(t, 250*time.Millisecond+defaultLease-defaultMargin, bench.machine.servesUntil(bench.now))
}

func TestCommitWithoutOwnSync(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	bench.step(propose{proposal: 1, change: replaceBy("second")})
	must.SliceEmpty(t, only[proposalDone](bench.acknowledge(otherID, 0)))
	done := only[proposalDone](bench.acknowledge(thirdID, 0))
	must.SliceLen(t, 1, done)
	must.NoError(t, done[0].err)
}

func TestRemovalNeedsOldMajority(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	bench.step(propose{proposal: 1, members: &memberChange{removeID: thirdID}})
	must.SliceEmpty(t, only[proposalDone](bench.confirm()))
	must.SliceEmpty(t, only[proposalDone](bench.acknowledge(otherID, 0)))
	must.SliceLen(t, 3, bench.machine.committedContents.OldMembers)
	must.SliceEmpty(t, only[proposalDone](bench.confirm()))
	must.SliceLen(t, 1, only[proposalDone](bench.acknowledge(otherID, 0)))
	must.SliceLen(t, 2, bench.machine.committedContents.Members)
	must.False(t, bench.machine.committedContents.isJoint())
}

// A leader that is removed never writes the list without itself.
func TestRemovedLeaderResignsInTheJointVersion(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	bench.step(propose{proposal: 1, members: &memberChange{removeID: selfID}})
	bench.confirm()
	bench.acknowledge(otherID, 0)
	done := only[proposalDone](bench.acknowledge(thirdID, 0))
	must.SliceLen(t, 1, done)
	must.True(t, errors.As(done[0].err, &OutcomeUnknownError{}))
	must.Nil(t, bench.machine.leadership)
	must.True(t, bench.machine.record.Contents.isJoint())
}

func TestLastMemberStays(t *testing.T) {
	_, err := memberChange{removeID: selfID}.apply([]Member{{ID: selfID, Address: selfAddress}})
	must.True(t, errors.As(err, &InvalidMembersError{}))
}

func TestQueueIsBounded(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	for proposal := range uint64(3) {
		must.SliceEmpty(t, only[proposalDone](bench.step(propose{proposal: proposal, change: replaceBy("second")})))
	}
	done := only[proposalDone](bench.step(propose{proposal: 3, change: replaceBy("third")}))
	must.Eq(t, []proposalDone{{proposal: 3, err: OverloadedError{Limit: 2}}}, done)
}

func TestAbandonedWhileWaiting(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	bench.step(propose{proposal: 1, change: replaceBy("second")})
	bench.step(propose{proposal: 2, change: replaceBy("third")})
	cause := errors.New("given up")
	must.Eq(t, []proposalDone{{proposal: 2, err: cause}}, only[proposalDone](bench.step(abandon{proposal: 2, cause: cause})))
	begun := only[proposalDone](bench.step(abandon{proposal: 1, cause: cause}))
	must.True(t, errors.As(begun[0].err, &OutcomeUnknownError{}))
}

func TestContentsTravelOnlyWhereMissing(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	bench.now = defaultHeartbeat
	for _, sent := range only[sendReplicate](bench.step(tick{})) {
		must.Nil(t, sent.request.Contents)
	}
	reply := ReplicateReply{Ok: true, Epoch: 1}
	sent := only[sendReplicate](bench.step(replicateResult{member: thirdID, epoch: 1, sentAt: bench.now, reply: reply}))
	must.SliceLen(t, 1, sent)
	must.EqOp(t, thirdID, sent[0].request.Member)
	must.NotNil(t, sent[0].request.Contents)
}

// TestRestartedMemberIsSentTheContentsAtOnce: what was on its way to the process before it is not waited for, and its late failure
// stops nothing.
func TestRestartedMemberIsSentTheContentsAtOnce(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	heartbeat := func() uint64 {
		bench.now += defaultHeartbeat
		bench.acknowledge(otherID, bench.now)
		bench.step(tick{})
		bench.acknowledge(otherID, bench.now)
		return bench.machine.leadership.round
	}
	answer := func(round, incarnation uint64) []sendReplicate {
		reply := ReplicateReply{Ok: true, Epoch: 1, Incarnation: incarnation}
		return only[sendReplicate](bench.step(replicateResult{member: thirdID, epoch: 1, sentAt: bench.now, round: round, reply: reply}))
	}
	before := heartbeat()
	transfer := answer(before, 1)
	must.SliceLen(t, 1, transfer)
	must.NotNil(t, transfer[0].request.Contents)
	must.SliceEmpty(t, answer(heartbeat(), 1)) // the contents are on their way
	again := answer(heartbeat(), 2)
	must.SliceLen(t, 1, again)
	must.NotNil(t, again[0].request.Contents)
	must.SliceEmpty(t, answer(before, 1)) // an answer of the former process that comes late
	bench.step(replicateResult{member: thirdID, epoch: 1, round: transfer[0].round, withContents: true, failed: true})
	must.SliceEmpty(t, answer(heartbeat(), 2)) // the second transfer is on its way still
}

// TestTransferThatIsLateDoublesTheTimeOfTheNext, also where its failure is told after the next one has begun.
func TestTransferThatIsLateDoublesTheTimeOfTheNext(t *testing.T) {
	bench := newSeedBench(t)
	bench.lead()
	transfersAfterHeartbeat := func() []sendReplicate {
		bench.acknowledge(otherID, bench.now)
		sent := only[sendReplicate](bench.step(tick{}))
		reply := ReplicateReply{Ok: true, Epoch: 1, Incarnation: 1}
		round := bench.machine.leadership.round
		answered := replicateResult{member: thirdID, epoch: 1, sentAt: bench.now, round: round, reply: reply}
		sent = append(sent, only[sendReplicate](bench.step(answered))...)
		return slices.DeleteFunc(sent, func(one sendReplicate) bool { return one.request.Member != thirdID || one.request.Contents == nil })
	}
	var before sendReplicate
	for timeout := defaultContentsTimeout; timeout <= defaultContentsTimeout<<contentsDoublings; timeout *= 2 {
		transfers := transfersAfterHeartbeat()
		must.SliceLen(t, 1, transfers)
		must.EqOp(t, timeout, transfers[0].timeout)
		bench.step(replicateResult{member: thirdID, epoch: 1, round: before.round, withContents: true, failed: true})
		before = transfers[0]
		for waited := time.Duration(0); waited < timeout; waited += defaultHeartbeat {
			bench.now += defaultHeartbeat
			bench.acknowledge(otherID, bench.now)
		}
	}
}

func TestResignedLeaderFreesVotes(t *testing.T) {
	bench := newSeedBench(t)
	bench.heartbeat(1)
	bench.confirm()
	resigned := ReplicateRequest{Member: selfID, Leader: otherID, Epoch: 1, Resign: true}
	bench.step(replicateCall{request: resigned})
	must.True(t, only[answerVote](bench.ask(VoteRequest{Member: selfID, Epoch: 2, PreVote: true}))[0].reply.Granted)
}

// Until the new list stands alone, the one before counts as well, and operators are told.
func TestStatusTellsOfAnExchange(t *testing.T) {
	members := []Member{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}
	record := Record{Identity: "a", Contents: Contents{Members: members}}
	config := machineConfig{address: "a:1", random: func(int64) int64 { return 0 }}
	settled, _ := newMachine(config, record, startRestarted, 0)
	must.False(t, settled.status(0).MembershipChanging)
	record.Contents.OldMembers = append([]Member{{ID: "d", Address: "d:1"}}, members[1:]...)
	joint, _ := newMachine(config, record, startRestarted, 0)
	must.True(t, joint.status(0).MembershipChanging)
}
