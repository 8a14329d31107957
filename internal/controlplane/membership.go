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

	// voterSilenceTimeout is how long a voter may be silent before it is exchanged: two joins, one of which may fail. A machine
	// that is gone for good counts as lost only until syncS (4.4 s) after its successor's start. The next one may be lost
	// then, so an election, this time, one membershipInterval and a transfer of the contents must have passed before. To
	// exchange one that was cut off for a moment costs a transfer, and nothing else.
	voterSilenceTimeout = 2000 * time.Millisecond
)

// voterChange exchanges, adds or removes one voter. The zero value changes nothing.
type voterChange struct {
	add      *failover.Member
	removeID string
}

func (c voterChange) isEmpty() bool {
	return c.add == nil && c.removeID == ""
}

// runMembership keeps the number of voters until the term ends, one change at a time.
func (s *Server) runMembership(t *term) {
	lastLogged := 0 // number of voters that was last logged as too small
	for sleep(t.context, membershipInterval) {
		now := time.Now()
		s.recordSelf(now)
		status := s.node.Status()
		recent := recentPeers(s.peers.recent(now), now)
		if !s.updateStoreLease(t, recent, now) {
			continue // a process with a longer lease must not get a vote before
		}
		change := planVoters(status.Members, status.Identity, recent, s.wantedVoters(), now.Sub(t.started))
		if change.isEmpty() {
			lastLogged = s.logTooFewVoters(len(status.Members), lastLogged, now.Sub(t.started))
			continue
		}
		ctx, cancel := context.WithTimeout(t.context, proposeTimeout)
		err := s.node.ProposeMembers(ctx, change.add, change.removeID)
		cancel()
		s.log.Info("voters change", "add", change.add, "remove", change.removeID, "error", errorTextOrNone(err))
	}
}

// logTooFewVoters logs that there are fewer voters than the fault tolerance needs, and no process with a disk is left to become one. It
// returns the number that was logged last.
func (s *Server) logTooFewVoters(voters, lastLogged int, leadingFor time.Duration) int {
	wanted := s.wantedVoters()
	if voters >= wanted || voters == lastLogged || leadingFor < voterSilenceTimeout {
		return lastLogged
	}
	s.log.Error(nil, "too few voters for the losses that faultTolerance names: while more than they bear are away nobody leads; "+
		"run the control role on more machines that have a disk", "voters", voters, "wanted", wanted)
	return voters
}

// recordSelf lists this process among those that were heard.
func (s *Server) recordSelf(now time.Time) {
	s.peers.record(s.joinRequest(false), now)
}

func errorTextOrNone(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// wantedVoters is the number of voters to keep.
func (s *Server) wantedVoters() int {
	return max(minVoters, 2*toleratedFailures(s.settings())+1)
}

// recentStatus returns the peers that are not silent: only those may stay or become voters.
func recentPeers(peers []peer, now time.Time) []peer {
	return slices.DeleteFunc(peers, func(p peer) bool { return now.Sub(p.lastSeen) >= voterSilenceTimeout })
}

// planVoters returns the next change of the voters. leaderID is this process, which stays; heard are those that
// joined lately; leadingFor is how long this process has led.
func planVoters(voters []failover.Member, leaderID string, recent []peer, wanted int, leadingFor time.Duration) voterChange {
	if change := replaceLostIdentity(voters, leaderID, recent); !change.isEmpty() {
		return change
	}
	standby := bestStandby(voters, recent)
	if len(voters) < wanted && standby != nil {
		return voterChange{add: standby}
	}
	if leadingFor < voterSilenceTimeout {
		return voterChange{} // the others may not have joined here yet
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

// replaceLostIdentity exchanges a voter whose disk was lost for the identity that lives at its address now.
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

// bestStandby returns the process with a disk to make a voter next: of a zone with the fewest voters.
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

// votersInZone counts the voters of a zone. The first voters carry none: theirs is known once they joined.
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

// silentVoter returns a voter that was not heard for voterSilenceTimeout, empty if there is none.
func silentVoter(voters []failover.Member, leaderID string, recent []peer) string {
	for _, voter := range voters {
		if voter.ID != leaderID && !containsPeer(recent, voter.ID) {
			return voter.ID
		}
	}
	return ""
}

// removableVoter returns the voter to do without: a silent one if there is one.
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
