package failover

import "time"

const (
	formerTermRetries       = 4  // campaigns in one CampaignTimeout
	formerTermSpreadDivisor = 10 // of ElectionJitter
)

// formerTerm makes a member that led or campaigned before its restart campaign at once, and often at first, since the
// others may start a little later than it does.
//
// It also tells the others that the epoch on its record is over, by the message of a leader that resigns. That holds
// for good: an earlier life has ended, and since the epoch is on disk, this life and later ones campaign in newer
// epochs only. The others then drop their grants, whoever is elected; it matters where this member can't be, because
// another one holds a newer version.
type formerTerm struct {
	epoch uint64
	ends  time.Duration // one lease after the start: then forgotten grants have ended by themselves
}

func (machine *machine) startFormerTerm(now time.Duration) {
	if machine.record.VotedFor != machine.record.Identity {
		return
	}
	machine.formerTerm = &formerTerm{epoch: machine.record.VotedEpoch, ends: now + machine.config.timing.LongestLease}
	machine.planElection(now, machine.formerTermSpread())
}

// continueFormerTerm is called at every campaign.
func (machine *machine) continueFormerTerm(now time.Duration) {
	if machine.formerTerm == nil {
		return
	}
	if now >= machine.formerTerm.ends || machine.record.VotedFor != machine.record.Identity {
		machine.formerTerm = nil
		return
	}
	machine.planElection(now+machine.config.timing.CampaignTimeout/formerTermRetries, machine.formerTermSpread())
	machine.tellFormerTermIsOver(now)
}

func (machine *machine) tellFormerTermIsOver(now time.Duration) {
	for _, member := range machine.record.Contents.voters() {
		if member.ID == machine.record.Identity {
			continue
		}
		request := ReplicateRequest{
			Member:        member.ID,
			Leader:        machine.record.Identity,
			LeaderAddress: machine.config.address,
			Epoch:         machine.formerTerm.epoch,
			Resign:        true,
		}
		machine.emit(sendReplicate{address: member.Address, request: request, sentAt: now})
	}
}

func (machine *machine) formerTermSpread() time.Duration {
	return machine.spread() / formerTermSpreadDivisor
}
