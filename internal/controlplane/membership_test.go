package controlplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
)

func testVoters(ids ...string) []failover.Member {
	var voters []failover.Member
	for _, id := range ids {
		voters = append(voters, failover.Member{ID: id, Address: "address-" + id[:1], Zone: "zone-" + id[:1]})
	}
	return voters
}

func peersOf(ids ...string) []peer {
	var peers []peer
	for _, id := range ids {
		peers = append(peers, peer{id: id, address: "address-" + id[:1], zone: "zone-" + id[:1], disk: true})
	}
	return peers
}

func TestVotersStayWhileAllJoin(t *testing.T) {
	change := planVoters(testVoters("a", "b", "c"), "a", peersOf("a", "b", "c", "d"), 3, time.Hour)
	must.True(t, change.isEmpty())
}

func TestVoterWithNewIdentityIsReplacedAtOnce(t *testing.T) {
	change := planVoters(testVoters("a", "b", "c"), "a", peersOf("a", "b2", "c", "d"), 3, 0)
	must.EqOp(t, "b", change.removeID)
	must.EqOp(t, "b2", change.add.ID)
}

func TestSilentVoterIsExchangedForAStandby(t *testing.T) {
	recent := peersOf("a", "c", "d")
	must.True(t, planVoters(testVoters("a", "b", "c"), "a", recent, 3, voterSilenceTimeout-1).isEmpty())
	change := planVoters(testVoters("a", "b", "c"), "a", recent, 3, voterSilenceTimeout)
	must.EqOp(t, "b", change.removeID)
	must.EqOp(t, "d", change.add.ID)
	must.True(t, planVoters(testVoters("a", "b", "c"), "a", peersOf("a", "c"), 3, time.Hour).isEmpty())
}

// A machine may fail as soon as the successor of an earlier lost one has run for syncS. Until then there must be three live voters
// again, even if the lost machine was the leader and the others send their Join to the new leader one joinInterval late.
func TestLostLeaderIsExchangedBeforeTheNextMachineMayBeLost(t *testing.T) {
	const (
		syncS    = 4400 * time.Millisecond
		election = 1200 * time.Millisecond // remaining lease of the lost leader, and the votes
	)
	lost := time.Unix(1000, 0)
	began := lost.Add(election)
	table := newPeerTable()
	for age := time.Duration(0); age < syncS; age += membershipInterval {
		now := lost.Add(age)
		for index, id := range []string{"b", "c", "d"} {
			joined := now.Truncate(joinInterval).Add(time.Duration(index) * time.Millisecond)
			if joined.After(began.Add(joinInterval)) || id == "b" && joined.After(began) {
				table.record(&rpc.JoinRequest{Id: id, Address: "address-" + id, Zone: "zone-" + id, Disk: true}, joined)
			}
		}
		recent := recentPeers(table.recent(now), now)
		if change := planVoters(testVoters("a", "b", "c"), "b", recent, 3, now.Sub(began)); !change.isEmpty() {
			must.EqOp(t, "a", change.removeID)
			must.EqOp(t, "d", change.add.ID)
			return
		}
	}
	t.Fatal("the lost voter was not replaced in time")
}

func TestSilentProcessBecomesNoVoter(t *testing.T) {
	now := time.Now()
	peers := peersOf("a", "c", "d")
	for index := range peers {
		peers[index].seenAt = now
	}
	peers[2].seenAt = now.Add(-voterSilenceTimeout)
	recent := recentPeers(peers, now)
	must.True(t, planVoters(testVoters("a", "b", "c"), "a", recent, 3, time.Hour).isEmpty())
	must.True(t, planVoters(testVoters("a", "c"), "a", recent, 3, time.Hour).isEmpty())
}

func TestProcessWithoutADiskIsNoVoter(t *testing.T) {
	recent := peersOf("a", "b", "c")
	recent[2].disk = false
	must.True(t, planVoters(testVoters("a", "b"), "a", recent, 3, time.Hour).isEmpty())
}

func TestZoneWithFewestVotersIsChosen(t *testing.T) {
	recent := peersOf("a", "b", "c", "d")
	recent[2].zone = "zone-a"
	change := planVoters(testVoters("a", "b"), "a", recent, 3, 0)
	must.EqOp(t, "d", change.add.ID)
	must.EqOp(t, "", change.removeID)
}

func TestVotersConvergeOnRecentPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const wanted = 3
		var voters []failover.Member
		var recent []peer
		processes := rapid.IntRange(wanted, 7).Draw(t, "processes")
		for index := range processes {
			id := fmt.Sprintf("%c", 'a'+index)
			if index == 0 || rapid.Bool().Draw(t, "is a voter") {
				voters = append(voters, testVoters(id)...)
			}
			if index < wanted || rapid.Bool().Draw(t, "is heard") {
				recent = append(recent, peersOf(id)...)
			}
		}
		for range 2*processes + wanted {
			change := planVoters(voters, "a", recent, wanted, time.Hour)
			must.False(t, change.removeID == "a")
			voters = applyChange(voters, change)
		}
		must.Len(t, wanted, voters)
		for _, voter := range voters {
			must.True(t, containsPeer(recent, voter.ID))
		}
	})
}

func applyChange(voters []failover.Member, change voterChange) []failover.Member {
	var next []failover.Member
	for _, voter := range voters {
		if voter.ID != change.removeID {
			next = append(next, voter)
		}
	}
	if change.add != nil {
		next = append(next, *change.add)
	}
	return next
}
