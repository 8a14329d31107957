package failover

import "time"

const (
	restartCampaignsPerTimeout = 4  // campaigns within one CampaignTimeout
	restartJitterDivisor       = 10 // fraction of ElectionJitter
)

// restartCampaign makes a member that led or campaigned before its restart campaign at once, and frequently at first,
// because the other members may start slightly later.
//
// It also announces that the epoch in its record has ended, by sending the message of a leader that resigns. This holds
// permanently: the leadership ended with the restart, and since the epoch is on disk, this process and later ones campaign
// only in newer epochs. The other members then drop their grants, whoever is elected. This matters if this member can't
// be elected because another one holds a newer version.
type restartCampaign struct {
	epoch     uint64        // voted epoch in the record at the start
	expiresAt time.Duration // LongestLease after the start, when forgotten grants have ended anyway
}

func (machine *machine) startRestartCampaign(now time.Duration) {
	if machine.record.VotedFor != machine.record.Identity {
		return
	}
	machine.restartCampaign = &restartCampaign{epoch: machine.record.VotedEpoch, expiresAt: now + machine.config.timing.LongestLease}
	machine.scheduleCampaign(now, machine.restartCampaignJitter())
}

// continueRestartCampaign schedules the next frequent campaign and repeats the announcement. It is called at the start of
// every campaign.
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

// announceEpochEnded tells the other voters that the leadership of the epoch before the restart has ended.
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
