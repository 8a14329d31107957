package failover

import "time"

// deferDivisor is the number of delays set by deferTo that fit into one CampaignTimeout.
const deferDivisor = 4

// campaign is the candidacy of this member. It starts with a pre-vote, which asks whether a majority would vote for this
// member. Without it, a member that was partitioned would raise the epoch of a group that has a leader.
type campaign struct {
	epoch         uint64
	isPreVote     bool
	granted       map[string]bool // by identity
	ownGeneration uint64          // generation of the record that must be synced before the own vote counts
}

// scheduleCampaign sets the time of the next campaign. It starts after the grant has ended, because a candidate votes
// for itself.
func (machine *machine) scheduleCampaign(earliest, jitter time.Duration) {
	machine.campaignAt = max(earliest, machine.grant.expiresAt) + jitter
}

// startCampaign starts a pre-vote.
func (machine *machine) startCampaign(now time.Duration) {
	machine.scheduleCampaign(now+machine.config.timing.CampaignTimeout, machine.electionJitter())
	machine.continueRestartCampaign(now)
	machine.campaign = &campaign{
		epoch:     max(machine.record.VotedEpoch, machine.highestEpoch) + 1,
		isPreVote: true,
		granted:   map[string]bool{machine.record.Identity: true},
	}
	machine.requestVotes()
	machine.countVotes(now)
}

// startElection records this member's vote for itself and requests the votes of the others.
func (machine *machine) startElection(now time.Duration) {
	machine.scheduleCampaign(now+machine.config.timing.CampaignTimeout, machine.electionJitter())
	machine.record.VotedEpoch = machine.campaign.epoch
	machine.record.VotedFor = machine.record.Identity
	machine.saveRecord()
	machine.campaign.isPreVote = false
	machine.campaign.granted = make(map[string]bool)
	machine.campaign.ownGeneration = machine.generation
	machine.requestVotes()
}

func (machine *machine) requestVotes() {
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
			PreVote:    machine.campaign.isPreVote,
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
	if current == nil || current.epoch != result.request.Epoch || current.isPreVote != result.request.PreVote {
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
	if current == nil || current.isPreVote || current.ownGeneration > machine.saved.generation {
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
	if machine.campaign.isPreVote {
		machine.startElection(now)
		return
	}
	machine.startLeadership(now)
}

// handleVoteRequest answers a vote request. The answer to a vote that was granted waits until the vote has been synced.
func (machine *machine) handleVoteRequest(now time.Duration, incoming voteCall) {
	request := incoming.request
	if request.Member != machine.record.Identity {
		reply := VoteReply{Epoch: machine.record.VotedEpoch, NotMember: true}
		machine.emit(answerVote{call: incoming.call, reply: reply})
		return
	}
	granted := machine.canVote(now, request)
	switch {
	case granted && request.PreVote:
		machine.deferTo(now, request.Candidate)
	case granted:
		machine.recordVote(now, request)
	}
	reply := VoteReply{Granted: granted, Epoch: machine.record.VotedEpoch}
	if !granted || request.PreVote {
		machine.emit(answerVote{call: incoming.call, reply: reply})
		return
	}
	machine.answerOnceSaved(func() effect { return answerVote{call: incoming.call, reply: reply} })
}

// canVote reports whether granting the vote would break neither a grant to another leader nor a vote for another
// candidate, and could not lose a committed version.
func (machine *machine) canVote(now time.Duration, request VoteRequest) bool {
	candidateVersion := Version{Epoch: request.StateEpoch, Seq: request.StateSeq}
	switch {
	case machine.leadership != nil:
		return false
	case now < machine.grant.expiresAt && machine.grant.leader != request.Candidate:
		return false
	case candidateVersion.Less(machine.record.Version):
		return false
	case request.Epoch > machine.record.VotedEpoch:
		return true
	}
	isRepeated := request.Epoch == machine.record.VotedEpoch && request.Candidate == machine.record.VotedFor
	return isRepeated && !request.PreVote
}

// deferTo delays this member's own campaign briefly if another campaign may succeed, which makes split votes rare. If
// both members campaign at the same time, the one with the lower identity continues. The delay is shorter than the time
// between two campaigns of the other member, because all answers to that member may be lost.
func (machine *machine) deferTo(now time.Duration, candidate string) {
	if machine.campaign != nil {
		if machine.campaign.isPreVote && candidate < machine.record.Identity {
			machine.campaign = nil
		}
		return
	}
	pause := machine.config.timing.CampaignTimeout / deferDivisor
	machine.campaignAt = max(machine.campaignAt, now+pause)
}

// recordVote records the vote and ends this member's own campaign. The grant remains unchanged even if the vote is for
// the leader that holds it, because the request may be older than the grant.
func (machine *machine) recordVote(now time.Duration, request VoteRequest) {
	if request.Epoch == machine.record.VotedEpoch {
		return
	}
	machine.campaign = nil
	machine.scheduleCampaign(now+machine.config.timing.CampaignTimeout, machine.electionJitter())
	machine.record.VotedEpoch = request.Epoch
	machine.record.VotedFor = request.Candidate
	machine.saveRecord()
}
