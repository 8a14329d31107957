package failover

import "time"

// yieldDivisor is how many pauses of yieldTo last as long as a CampaignTimeout.
const yieldDivisor = 4

// campaign is this member's candidacy. It asks first whether a majority would vote for it (pre-vote), so that a
// member that was cut off does not raise the epoch of a group that has a leader.
type campaign struct {
	epoch         uint64
	askOnly       bool
	granted       map[string]bool // by identity
	ownGeneration uint64          // the own vote counts once this has been synced
}

// planElection sets the next campaign. None begins before the grant has ended, since a candidate votes for itself.
func (machine *machine) planElection(earliest, spread time.Duration) {
	machine.electionAt = max(earliest, machine.grant.ends) + spread
}

// startCampaign asks whether a majority would vote for this member.
func (machine *machine) startCampaign(now time.Duration) {
	machine.planElection(now+machine.config.timing.CampaignTimeout, machine.spread())
	machine.continueFormerTerm(now)
	machine.campaign = &campaign{
		epoch:   max(machine.record.VotedEpoch, machine.highestEpoch) + 1,
		askOnly: true,
		granted: map[string]bool{machine.record.Identity: true},
	}
	machine.askForVotes()
	machine.countVotes(now)
}

// startVote votes for this member itself and asks for the votes of the others.
func (machine *machine) startVote(now time.Duration) {
	machine.planElection(now+machine.config.timing.CampaignTimeout, machine.spread())
	machine.record.VotedEpoch = machine.campaign.epoch
	machine.record.VotedFor = machine.record.Identity
	machine.changeRecord()
	machine.campaign.askOnly = false
	machine.campaign.granted = make(map[string]bool)
	machine.campaign.ownGeneration = machine.generation
	machine.askForVotes()
}

func (machine *machine) askForVotes() {
	for _, member := range machine.record.Contents.voters() {
		if member.ID == machine.record.Identity {
			continue
		}
		request := VoteRequest{
			Member:     member.ID,
			Candidate:  machine.record.Identity,
			Epoch:      machine.campaign.epoch,
			StateEpoch: machine.record.Version.Epoch,
			StateSeq:   machine.record.Version.Seq,
			PreVote:    machine.campaign.askOnly,
		}
		machine.emit(sendVote{address: member.Address, request: request})
	}
}

func (machine *machine) handleVoteResult(now time.Duration, result voteResult) {
	if result.failed {
		return
	}
	machine.highestEpoch = max(machine.highestEpoch, result.reply.Epoch)
	current := machine.campaign
	if current == nil || current.epoch != result.request.Epoch || current.askOnly != result.request.PreVote {
		return
	}
	if !result.reply.Granted {
		return
	}
	current.granted[result.request.Member] = true
	machine.countVotes(now)
}

// countOwnVote counts the candidate's own vote once it has been synced.
func (machine *machine) countOwnVote(now time.Duration) {
	current := machine.campaign
	if current == nil || current.askOnly || current.ownGeneration > machine.saved.generation {
		return
	}
	current.granted[machine.record.Identity] = true
	machine.countVotes(now)
}

func (machine *machine) countVotes(now time.Duration) {
	isGranted := func(identity string) bool { return machine.campaign.granted[identity] }
	if !machine.record.Contents.isQuorum(isGranted) {
		return
	}
	if machine.campaign.askOnly {
		machine.startVote(now)
		return
	}
	machine.startLeadership(now)
}

// handleVote is the witness.
func (machine *machine) handleVote(now time.Duration, asked voteCall) {
	request := asked.request
	if request.Member != machine.record.Identity {
		reply := VoteReply{Epoch: machine.record.VotedEpoch, NotMember: true}
		machine.emit(answerVote{call: asked.call, reply: reply})
		return
	}
	granted := machine.mayVote(now, request)
	switch {
	case granted && request.PreVote:
		machine.yieldTo(now, request.Candidate)
	case granted:
		machine.vote(now, request)
	}
	reply := VoteReply{Granted: granted, Epoch: machine.record.VotedEpoch}
	if !granted || request.PreVote {
		machine.emit(answerVote{call: asked.call, reply: reply})
		return
	}
	machine.answerOnceSaved(func() effect { return answerVote{call: asked.call, reply: reply} })
}

// mayVote reports whether the vote can be given without breaking a promise to another leader or candidate, or losing
// a committed version.
func (machine *machine) mayVote(now time.Duration, request VoteRequest) bool {
	candidateVersion := Version{Epoch: request.StateEpoch, Seq: request.StateSeq}
	switch {
	case machine.leadership != nil:
		return false
	case now < machine.grant.ends && machine.grant.leader != request.Candidate:
		return false
	case candidateVersion.Less(machine.record.Version):
		return false
	case request.Epoch > machine.record.VotedEpoch:
		return true
	}
	isRepeated := request.Epoch == machine.record.VotedEpoch && request.Candidate == machine.record.VotedFor
	return isRepeated && !request.PreVote
}

// yieldTo puts the own campaign off for a moment where another member's may succeed, so that votes are seldom split.
// Where both ask at the same time, the one with the lower identity goes on. The pause is shorter than that between two
// campaigns of the other, whose answers may all be lost.
func (machine *machine) yieldTo(now time.Duration, candidate string) {
	if machine.campaign != nil {
		if machine.campaign.askOnly && candidate < machine.record.Identity {
			machine.campaign = nil
		}
		return
	}
	pause := machine.config.timing.CampaignTimeout / yieldDivisor
	machine.electionAt = max(machine.electionAt, now+pause)
}

// vote records the vote. A campaign of this member's own ends. A grant stays as it is, also where the vote is for the
// leader that has it: the request may be older than the grant.
func (machine *machine) vote(now time.Duration, request VoteRequest) {
	if request.Epoch == machine.record.VotedEpoch {
		return
	}
	machine.campaign = nil
	machine.planElection(now+machine.config.timing.CampaignTimeout, machine.spread())
	machine.record.VotedEpoch = request.Epoch
	machine.record.VotedFor = request.Candidate
	machine.changeRecord()
}
