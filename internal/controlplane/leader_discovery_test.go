package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	searchSeedsVariable = "CONTROLPLANE_SEARCH_SEEDS" // plays so many seeds
	searchSeeds         = 12
	searchRounds        = 12
	searchZones         = 4
	foundWithin         = 4 * time.Second  // the shortest contactMs of a deployment
	servedWithin        = 12 * time.Second // the shortest recoveryS of a deployment
	simPollInterval     = 50 * time.Millisecond
)

// newSearchNetwork starts as many control processes in each of four zones as the deploy file does: the first on a machine with a disk, the
// others without. Three of them vote.
func newSearchNetwork(t *testing.T, seed uint64, directory string) *simNetwork {
	network := newSimNetwork(t, seed, directory)
	for zone := range searchZones {
		for number := range controlsOfAZone(t) {
			server := network.addServer()
			server.zone = fmt.Sprintf("zone-%d", zone)
			server.diskless = number > 0
			if number == 0 && len(network.seeds) < minVoters {
				network.seeds = append(network.seeds, server.address)
			}
		}
	}
	network.addMembers()
	for _, server := range network.allServers() {
		server.start(true)
	}
	network.startMembers()
	time.Sleep(startupTime)
	return network
}

// nonVoters returns the addresses of the processes that do not vote.
func (n *simNetwork) nonVoters() []string {
	voters := n.leader().running().server.node.Status().Members
	var addresses []string
	for _, server := range n.allServers() {
		votes := false
		for _, voter := range voters {
			votes = votes || voter.Address == server.address
		}
		if !votes && !server.removed {
			addresses = append(addresses, server.address)
		}
	}
	return addresses
}

// setAllSeeds puts the same seeds into the settings of all machines. Members read them at their next start.
func (n *simNetwork) setAllSeeds(seeds []string) {
	n.seeds = seeds
	for _, server := range n.allServers() {
		server.setSeeds(seeds)
	}
}

// setSeeds puts other seeds into the settings of a process that runs.
func (s *simServer) setSeeds(seeds []string) {
	s.seeds = seeds
	s.network.logEvent("%s has the seeds %v", s.address, seeds)
	if process := s.running(); process != nil {
		process.server.Reload(s.settings())
	}
}

// restartAll takes the power from all machines for a moment.
func (n *simNetwork) restartAll() {
	n.powerOffAll()
	for _, server := range n.allServers() {
		if !server.removed {
			server.start(false)
		}
	}
	n.startMembers()
}

// strangers lists the processes that run and have not named the leader at any moment while the time to find it lasted. A process may forget
// the leader for a moment: one announcement that is lost does that.
func (n *simNetwork) withoutLeader() []string {
	found := make(map[*simServer]bool)
	var withoutLeader []string
	for end := time.Now().Add(foundWithin); time.Now().Before(end); {
		time.Sleep(simPollInterval)
		withoutLeader = n.stillWithoutLeader(found)
		if len(withoutLeader) == 0 {
			return nil
		}
	}
	return append(withoutLeader, n.describe()...)
}

// stillWithoutLeader looks once at the processes that have not been found to name the leader, and lists those that still do not.
func (n *simNetwork) stillWithoutLeader(found map[*simServer]bool) []string {
	leader := n.leader()
	if leader == nil {
		return []string{"nobody leads"}
	}
	var withoutLeader []string
	for _, server := range n.allServers() {
		process := server.running()
		if process == nil || found[server] {
			continue
		}
		named := process.server.leaderAddress()
		found[server] = named == leader.address
		if !found[server] {
			withoutLeader = append(withoutLeader, fmt.Sprintf("%s names %q, %s leads", server.address, named, leader.address))
		}
	}
	return withoutLeader
}

// playSearch plays a course of events in virtual time and returns who does not know the leader in the end, and the trace.
func playSearch(t *testing.T, seed uint64, scenario func(*simNetwork) []string) {
	directory := t.TempDir()
	var withoutLeader, trace []string
	synctest.Test(t, func(t *testing.T) {
		network := newSearchNetwork(t, seed, directory)
		withoutLeader = network.awaitService(servedWithin)
		if len(withoutLeader) == 0 {
			withoutLeader = scenario(network)
		}
		trace = network.trace
		network.end()
	})
	must.SliceEmpty(t, withoutLeader, must.Sprint(strings.Join(withoutLeader, "\n")+"\n"+strings.Join(trace, "\n")))
}

// TestLeaderIsFoundAfterAPowerLossThroughSeedsThatDoNotVote guards against a leader that nobody finds (incident 0011).
func TestLeaderIsFoundAfterAPowerLossThroughSeedsThatDoNotVote(t *testing.T) {
	playSearch(t, 1, func(network *simNetwork) []string {
		network.setAllSeeds(network.nonVoters()[:minVoters])
		network.restartAll()
		return append(network.withoutLeader(), network.awaitService(servedWithin)...)
	})
}

// TestNewLeaderIsFoundThroughSeedsThatDoNotVote has the leader end while the seeds name processes that do not vote.
func TestNewLeaderIsFoundThroughSeedsThatDoNotVote(t *testing.T) {
	playSearch(t, 1, func(network *simNetwork) []string {
		network.setAllSeeds(network.nonVoters()[:minVoters])
		network.leader().kill(true)
		network.stopMembers(true)
		network.startMembers()
		return append(network.withoutLeader(), network.awaitService(servedWithin)...)
	})
}

// TestLeaderIsFoundThroughSeedsThatItDoesNotHave has two groups of seeds: the voters' and the others'.
func TestLeaderIsFoundThroughSeedsThatItDoesNotHave(t *testing.T) {
	playSearch(t, 1, func(network *simNetwork) []string {
		outside := network.nonVoters()
		for _, server := range network.allServers() {
			if slices.Contains(outside, server.address) {
				server.setSeeds(outside[:2])
			} else {
				server.setSeeds(outside[2:])
			}
		}
		network.restartAll()
		return network.withoutLeader()
	})
}

// TestEachProcessFindsTheLeaderWhateverItsSeeds draws seeds for each process anew, restarts some or all, takes disks and machines, and asks each
// process in every pause who leads.
func TestEachProcessFindsTheLeaderWhateverItsSeeds(t *testing.T) {
	for _, seed := range seedsToPlay(searchSeedsVariable, simSeedVariable, searchSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playSearch(t, seed, searchScenario)
		})
	}
}

// searchScenario draws what happens, round by round, until a process does not find the leader.
func searchScenario(network *simNetwork) []string {
	faults := &simFaults{network: network, group: simGroups[0]}
	for range searchRounds {
		network.drawSeeds()
		switch target := network.allServers()[network.intN(len(network.allServers()))]; network.intN(6) {
		case 0, 1:
			network.restartAll()
		case 2:
			faults.restart(network.leader(), true, network.between(100*time.Millisecond, 2*time.Second))
		case 3:
			faults.restart(target, network.chance(0.5), network.between(100*time.Millisecond, 2*time.Second))
		case 4:
			if !target.diskless {
				faults.loseDisk(target)
			}
		case 5:
			member := network.members[network.intN(len(network.members))]
			network.logEvent("%s is killed", member.name)
			member.kill()
		}
		network.startMembers()
		if withoutLeader := append(network.withoutLeader(), network.awaitService(servedWithin)...); len(withoutLeader) > 0 {
			return withoutLeader
		}
	}
	return nil
}

// drawSeeds gives each process seeds of its own, at times the same to all.
func (n *simNetwork) drawSeeds() {
	n.setAllSeeds(n.drawnSeeds())
	if n.chance(0.5) {
		return
	}
	for _, server := range n.allServers() {
		server.setSeeds(n.drawnSeeds())
	}
}

// drawnSeeds returns the addresses of one to three processes.
func (n *simNetwork) drawnSeeds() []string {
	servers := n.allServers()
	var seeds []string
	for range 1 + n.intN(minVoters) {
		seeds = append(seeds, servers[n.intN(len(servers))].address)
	}
	return seeds
}
