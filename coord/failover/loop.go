package failover

import (
	"context"
	"slices"
	"time"
)

// run owns the machine: it passes commands and ticks to it and executes its effects.
func (node *Node) run(effects []effect) {
	defer node.done.Done()
	defer node.servesUntil.Store(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	node.execute(effects)
	for {
		node.setTimer(timer)
		select {
		case <-node.ctx.Done():
			return
		case <-timer.C:
			node.step(tick{})
		case received := <-node.commands:
			node.register(received)
			node.step(received.input)
		}
	}
}

func (node *Node) setTimer(timer *time.Timer) {
	now := node.now()
	wait := node.machine.wakeAt(now) - now
	timer.Reset(max(wait, 0))
}

// register stores the channel for the answer to a command.
func (node *Node) register(received command) {
	switch {
	case received.vote != nil:
		node.voteCalls[received.id] = received.vote
	case received.replicate != nil:
		node.replicateCalls[received.id] = received.replicate
	case received.proposal != nil:
		node.proposals[received.id] = received.proposal
	}
}

// step publishes the new status before it executes the effects, so that a caller that gets an answer sees it.
func (node *Node) step(event input) {
	effects := node.machine.step(node.now(), event)
	node.publish()
	node.execute(effects)
}

func (node *Node) execute(effects []effect) {
	for _, requested := range effects {
		switch requested := requested.(type) {
		case sendVote:
			go node.sendVote(requested)
		case sendReplicate:
			go node.sendReplicate(requested)
		case answerVote:
			node.voteCalls[requested.call] <- requested.reply
			delete(node.voteCalls, requested.call)
		case answerReplicate:
			node.replicateCalls[requested.call] <- requested.reply
			delete(node.replicateCalls, requested.call)
		case persist:
			node.saver.save(requested)
		case proposalDone:
			node.completeProposal(requested.proposal, requested.err)
		case readDone:
			node.completeProposal(requested.read, requested.err)
		case becameLeader:
			node.config.Log.Info("leads", "epoch", requested.epoch)
		case steppedDown:
			node.config.Log.Info("stepped down", "epoch", requested.epoch, "reason", requested.reason)
		case committed:
			// publish reads the committed version from the machine.
		}
	}
}

// completeProposal answers the caller of a proposal or read. A second completion, of an abandoned proposal that was in
// flight, is ignored.
func (node *Node) completeProposal(number uint64, err error) {
	answer := node.proposals[number]
	if answer == nil {
		return
	}
	delete(node.proposals, number)
	answer <- err
}

func (node *Node) sendVote(requested sendVote) {
	ctx, cancel := context.WithTimeout(node.ctx, heartbeatTimeout)
	defer cancel()
	reply, err := node.config.Transport.Vote(ctx, requested.address, requested.request)
	result := voteResult{request: requested.request, reply: reply, failed: err != nil}
	// The only possible error is that the node is closed.
	_ = node.enqueue(node.ctx, command{input: result})
}

func (node *Node) sendReplicate(requested sendReplicate) {
	ctx, cancel := context.WithTimeout(node.ctx, max(requested.timeout, heartbeatTimeout))
	defer cancel()
	reply, err := node.config.Transport.Replicate(ctx, requested.address, requested.request)
	result := replicateResult{
		member:       requested.request.Member,
		epoch:        requested.request.Epoch,
		sentAt:       requested.sentAt,
		round:        requested.round,
		withContents: requested.request.Contents != nil,
		reply:        reply,
		failed:       err != nil,
	}
	// The only possible error is that the node is closed.
	_ = node.enqueue(node.ctx, command{input: result})
}

// publish stores the current status and wakes the notifier if the status has changed.
func (node *Node) publish() {
	now := node.now()
	node.servesUntil.Store(int64(node.machine.servesUntil(now)))
	current := node.machine.status(now)
	previous := node.status.Load()
	if previous != nil && equalStatus(*previous, current) {
		return
	}
	node.status.Store(&current)
	select {
	case node.statusChanged <- struct{}{}:
	default:
	}
}

// status returns the status of the member. Until a committed version is known, it reports the voters in the record.
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

// equalStatus compares versions in place of the state itself.
func equalStatus(one, other Status) bool {
	return one.Leader == other.Leader &&
		one.LeaderAddress == other.LeaderAddress &&
		one.Epoch == other.Epoch &&
		one.StateEpoch == other.StateEpoch &&
		one.StateSeq == other.StateSeq &&
		one.MembershipChanging == other.MembershipChanging &&
		one.Voter == other.Voter &&
		slices.Equal(one.Members, other.Members)
}

// runNotifier calls OnChange with the newest status after changes.
func (node *Node) runNotifier() {
	defer node.done.Done()
	for {
		select {
		case <-node.ctx.Done():
			return
		case <-node.statusChanged:
			if node.config.OnChange != nil {
				node.config.OnChange(node.Status())
			}
		}
	}
}
