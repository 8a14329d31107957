package failover

import (
	"context"
	"slices"
	"time"
)

// run owns the machine: it feeds it commands and ticks, and carries its effects out.
func (node *Node) run(effects []effect) {
	defer node.done.Done()
	defer node.servesUntil.Store(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	node.carryOut(effects)
	for {
		node.setTimer(timer)
		select {
		case <-node.ctx.Done():
			return
		case <-timer.C:
			node.step(tick{})
		case taken := <-node.commands:
			node.register(taken)
			node.step(taken.input)
		}
	}
}

func (node *Node) setTimer(timer *time.Timer) {
	now := node.now()
	wait := node.machine.wakeAt(now) - now
	timer.Reset(max(wait, 0))
}

// register remembers where the answer to a command goes.
func (node *Node) register(taken command) {
	switch {
	case taken.vote != nil:
		node.voteCalls[taken.id] = taken.vote
	case taken.replicate != nil:
		node.replicaCalls[taken.id] = taken.replicate
	case taken.proposal != nil:
		node.proposals[taken.id] = taken.proposal
	}
}

// step publishes the outcome before it carries the effects out, so that whoever is answered sees it.
func (node *Node) step(taken input) {
	effects := node.machine.step(node.now(), taken)
	node.publish()
	node.carryOut(effects)
}

func (node *Node) carryOut(effects []effect) {
	for _, wanted := range effects {
		switch wanted := wanted.(type) {
		case sendVote:
			go node.sendVote(wanted)
		case sendReplicate:
			go node.sendReplicate(wanted)
		case answerVote:
			node.voteCalls[wanted.call] <- wanted.reply
			delete(node.voteCalls, wanted.call)
		case answerReplicate:
			node.replicaCalls[wanted.call] <- wanted.reply
			delete(node.replicaCalls, wanted.call)
		case persist:
			node.saver.save(wanted)
		case proposalDone:
			node.endProposal(wanted.proposal, wanted.err)
		case readDone:
			node.endProposal(wanted.read, wanted.err)
		case becameLeader:
			node.config.Log.Info("leads", "epoch", wanted.epoch)
		case steppedDown:
			node.config.Log.Info("leads no longer", "epoch", wanted.epoch, "reason", wanted.reason)
		case committed:
			// publish has taken it from the machine.
		}
	}
}

// endProposal answers who proposed or read. An abandoned proposal that was under way ends a second time.
func (node *Node) endProposal(number uint64, err error) {
	answer := node.proposals[number]
	if answer == nil {
		return
	}
	delete(node.proposals, number)
	answer <- err
}

func (node *Node) sendVote(wanted sendVote) {
	ctx, cancel := context.WithTimeout(node.ctx, heartbeatTimeout)
	defer cancel()
	reply, err := node.config.Transport.Vote(ctx, wanted.address, wanted.request)
	result := voteResult{request: wanted.request, reply: reply, failed: err != nil}
	// The only error is that the node is closed.
	_ = node.send(node.ctx, command{input: result})
}

func (node *Node) sendReplicate(wanted sendReplicate) {
	ctx, cancel := context.WithTimeout(node.ctx, max(wanted.timeout, heartbeatTimeout))
	defer cancel()
	reply, err := node.config.Transport.Replicate(ctx, wanted.address, wanted.request)
	result := replicateResult{
		member:       wanted.request.Member,
		epoch:        wanted.request.Epoch,
		sentAt:       wanted.sentAt,
		round:        wanted.round,
		withContents: wanted.request.Contents != nil,
		reply:        reply,
		failed:       err != nil,
	}
	// The only error is that the node is closed.
	_ = node.send(node.ctx, command{input: result})
}

// publish makes the state of the machine visible, and tells of it where it has changed.
func (node *Node) publish() {
	now := node.now()
	node.servesUntil.Store(int64(node.machine.servesUntil(now)))
	current := node.machine.status(now)
	previous := node.status.Load()
	if previous != nil && isSameStatus(*previous, current) {
		return
	}
	node.status.Store(&current)
	select {
	case node.changed <- struct{}{}:
	default:
	}
}

// status describes the machine.
func (machine *machine) status(now time.Duration) Status {
	newest := machine.committedContents
	if machine.committedVersion == (Version{}) {
		newest = machine.record.Contents
	}
	return Status{
		Leader:             machine.servesUntil(now) > now,
		LeaderAddress:      machine.leaderAddress(now),
		Epoch:              machine.record.VotedEpoch,
		StateEpoch:         machine.committedVersion.Epoch,
		StateSeq:           machine.committedVersion.Seq,
		State:              machine.committedContents.State,
		Members:            newest.Members,
		MembershipChanging: newest.isJoint() || machine.record.Contents.isJoint(),
		Identity:           machine.record.Identity,
		Voter:              machine.isVoter(),
	}
}

// isSameStatus compares the version instead of the state.
func isSameStatus(one, other Status) bool {
	return one.Leader == other.Leader &&
		one.LeaderAddress == other.LeaderAddress &&
		one.Epoch == other.Epoch &&
		one.StateEpoch == other.StateEpoch &&
		one.StateSeq == other.StateSeq &&
		one.MembershipChanging == other.MembershipChanging &&
		one.Voter == other.Voter &&
		slices.Equal(one.Members, other.Members)
}

// runNotifier calls OnChange with the newest status.
func (node *Node) runNotifier() {
	defer node.done.Done()
	for {
		select {
		case <-node.ctx.Done():
			return
		case <-node.changed:
			if node.config.OnChange != nil {
				node.config.OnChange(node.Status())
			}
		}
	}
}
