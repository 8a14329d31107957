package controlplane

import (
	"context"
	"slices"
	"time"

	"foldlb.example/foldlb/coord/failover"
)

const (
	membershipInterval = 250 * time.Millisecond
	minVoters          = 3

	// voterSilenceTimeout is how long a voter may send no Join before it is replaced. It allows for one failed Join of at
	// least two. A further machine may fail as early as syncS (4.4 s) after the successor of a lost one has started, so an
	// election, this timeout, one membershipInterval and a state transfer must fit into that time. Replacing a voter that
	// was only cut off briefly costs one state transfer.
	voterSilenceTimeout = 2000 * time.Millisecond
)

// voterChange replaces, adds or removes one voter. The zero value changes nothing.
type voterChange struct {
	add      *failover.Member
	removeID string
}

func (c voterChange) isEmpty() bool {
	return c.add == nil && c.removeID == ""
}

// runMembership keeps the wanted number of voters until the term ends, by one change at a time.
func (s *Server) runMembership(t *term) {
	lastLogged := 0 // number of voters that was last logged as too few
	for sleep(t.context, membershipInterval) {
		now := time.Now()
		s.recordSelf(now)
		status := s.node.Status()
		recent := recentPeers(s.peers.recent(now), now)
		if !s.updateStoreLease(t, recent, now) {
			continue // a process that grants longer leases must not become a voter before its lease duration is recorded
		}
		change := planVoters(status.Members, status.Identity, recent, s.wantedVoters(), now.Sub(t.started))
		if change.isEmpty() {
			lastLogged = s.logTooFewVoters(len(status.Members), lastLogged, now.Sub(t.started))
			continue
		}
		ctx, cancel := context.WithTimeout(t.context, proposeTimeout)
		err := s.node.ProposeMembers(ctx, change.add, change.removeID)
		cancel()
		s.log.Info("proposed a change of the voters", "add", change.add, "remove", change.removeID, "error", errorTextOrNone(err))
	}
}

// logTooFewVoters logs that there are fewer voters than the fault tolerance requires and no further process with a disk that could become
// one. It logs each number of voters once, and returns the number that was logged last.
func (s *Server) logTooFewVoters(voters, lastLogged int, leadingFor time.Duration) int {
	wanted := s.wantedVoters()
	if voters >= wanted || voters == lastLogged || leadingFor < voterSilenceTimeout {
		return lastLogged
	}
	s.log.Error(nil, "too few voters for the configured faultTolerance: no leader can be elected without a majority of them; "+
		"run the control role on more machines that have a disk", "voters", voters, "wanted", wanted)
	return voters
}

// recordSelf records this process in the peer table.
func (s *Server) recordSelf(now time.Time) {
	s.peers.record(s.joinRequest(false), now)
}

func errorTextOrNone(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// wantedVoters returns the number of voters that the fault tolerance requires, at least minVoters.
func (s *Server) wantedVoters() int {
	return max(minVoters, 2*toleratedFailures(s.settings())+1)
}

// recentPeers returns the peers that joined within voterSilenceTimeout. Only those may stay or become voters.
func recentPeers(peers []peer, now time.Time) []peer {
	return slices.DeleteFunc(peers, func(p peer) bool { return now.Sub(p.seenAt) >= voterSilenceTimeout })
}

// planVoters returns the next change of the voters. leaderID is this process, which remains a voter; recent are the
// processes that joined within voterSilenceTimeout; leadingFor is how long this process has led.
func planVoters(voters []failover.Member, leaderID string, recent []peer, wanted int, leadingFor time.Duration) voterChange {
	if change := replaceLostIdentity(voters, leaderID, recent); !change.isEmpty() {
		return change
	}
	standby := bestStandby(voters, recent)
	if len(voters) < wanted && standby != nil {
		return voterChange{add: standby}
	}
	if leadingFor < voterSilenceTimeout {
		return voterChange{} // the other voters may not have sent a Join to this process yet
	}
	if len(voters) > wanted {
		return voterChange{removeID: removableVoter(voters, leaderID, recent)}
	}
	if standby == nil {
		return voterChange{}
	}
	if silent := silentVoter(voters, leaderID, recent); silent != "" {
		return voterChange{add: standby, removeID: silent}
	}
	return voterChange{}
}

// replaceLostIdentity replaces a voter whose disk was lost by the identity that now joins from its address.
func replaceLostIdentity(voters []failover.Member, leaderID string, recent []peer) voterChange {
	for _, voter := range voters {
		index := slices.IndexFunc(recent, func(p peer) bool { return p.address == voter.Address })
		if index < 0 || voter.ID == leaderID {
			continue
		}
		current := recent[index]
		if current.id != voter.ID && current.disk && !isVoter(voters, current.id) {
			return voterChange{add: current.member(), removeID: voter.ID}
		}
	}
	return voterChange{}
}

// bestStandby returns the process with a disk that should become a voter next, from a zone with the fewest voters.
// It returns nil if there is none.
func bestStandby(voters []failover.Member, recent []peer) *failover.Member {
	var best *failover.Member
	fewest := 0
	for _, candidate := range recent {
		if !candidate.disk || isVoter(voters, candidate.id) {
			continue
		}
		inZone := votersInZone(voters, recent, candidate.zone)
		if best == nil || inZone < fewest {
			best = candidate.member()
			fewest = inZone
		}
	}
	return best
}

// votersInZone counts the voters of a zone. The initial voters are recorded without a zone; theirs is known once they joined.
func votersInZone(voters []failover.Member, recent []peer, zone string) int {
	count := 0
	for _, voter := range voters {
		voterZone := voter.Zone
		for _, known := range recent {
			if known.id == voter.ID {
				voterZone = known.zone
			}
		}
		if voterZone == zone {
			count++
		}
	}
	return count
}

// silentVoter returns the ID of a voter that sent no Join within voterSilenceTimeout, empty if there is none.
func silentVoter(voters []failover.Member, leaderID string, recent []peer) string {
	for _, voter := range voters {
		if voter.ID != leaderID && !containsPeer(recent, voter.ID) {
			return voter.ID
		}
	}
	return ""
}

// removableVoter returns the ID of the voter to remove: a silent one if there is one, else the last that is not the leader.
func removableVoter(voters []failover.Member, leaderID string, recent []peer) string {
	if silent := silentVoter(voters, leaderID, recent); silent != "" {
		return silent
	}
	for _, voter := range slices.Backward(voters) {
		if voter.ID != leaderID {
			return voter.ID
		}
	}
	return ""
}

func isVoter(voters []failover.Member, id string) bool {
	return slices.ContainsFunc(voters, func(voter failover.Member) bool { return voter.ID == id })
}

func containsPeer(peers []peer, id string) bool {
	return slices.ContainsFunc(peers, func(p peer) bool { return p.id == id })
}

func (p peer) member() *failover.Member {
	return &failover.Member{ID: p.id, Address: p.address, Zone: p.zone}
}
