package failover

import "time"

const (
	restartCampaignsPerTimeout = 4  // campaigns in one CampaignTimeout
	restartJitterDivisor       = 10 // of ElectionJitter
)

// restartCampaign makes a member that led or campaigned before its restart campaign at once, and often at first, since the
// others may start a little later than it does.
//
// It also tells the others that the epoch on its record is over, by the message of a leader that resigns. That holds
// for good: an earlier life has ended, and since the epoch is on disk, this life and later ones campaign in newer
// epochs only. The others then drop their grants, whoever is elected; it matters where this member can't be, because
// another one holds a newer version.
type restartCampaign struct {
	epoch     uint64
	expiresAt time.Duration // one lease after the start: then forgotten grants have ended by themselves
}

func (machine *machine) startRestartCampaign(now time.Duration) {
	if machine.record.VotedFor != machine.record.Identity {
		return
	}
	machine.restartCampaign = &restartCampaign{epoch: machine.record.VotedEpoch, expiresAt: now + machine.config.timing.LongestLease}
	machine.scheduleCampaign(now, machine.restartCampaignJitter())
}

// continueRestartCampaign is called at every campaign.
func (machine *machine) continueRestartCampaign(now time.Duration) {
	if machine.restartCampaign == nil {
		return
	}
	if now >= machine.restartCampaign.expiresAt || machine.record.VotedFor != machine.record.Identity {
		machine.restartCampaign = nil
		return
	}
	machine.scheduleCampaign(now+machine.config.timing.CampaignTimeout/restartCampaignsPerTimeout, machine.restartCampaignJitter())
	machine.announceEpochEnded(now)
}

func (machine *machine) announceEpochEnded(now time.Duration) {
	for _, member := range machine.record.Contents.voters() {
		if member.ID == machine.record.Identity {
			continue
		}
		request := ReplicateRequest{
			Member:        member.ID,
			Leader:        machine.record.Identity,
			LeaderAddress: machine.config.address,
			Epoch:         machine.restartCampaign.epoch,
			Resign:        true,
		}
		machine.emit(sendReplicate{address: member.Address, request: request, sentAt: now})
	}
}

func (machine *machine) restartCampaignJitter() time.Duration {
	return machine.electionJitter() / restartJitterDivisor
}
