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
	searchSeedsVariable = "CONTROLPLANE_SEARCH_SEEDS" // number of seeds to run
	searchSeeds         = 12
	searchRounds        = 12
	searchZones         = 4
	foundWithin         = 4 * time.Second  // shortest contactMs of a deployment
	servedWithin        = 12 * time.Second // shortest recoveryS of a deployment
	simPollInterval     = 50 * time.Millisecond
)

// newSearchNetwork starts as many control processes in each of four zones as the deploy file does: the first on a machine with a disk, the
// others without. Three of them are voters.
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

// nonVoters returns the addresses of the processes without a vote.
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

// setAllSeeds sets the same seeds in the settings of all machines. Members read them at their next start.
func (n *simNetwork) setAllSeeds(seeds []string) {
	n.seeds = seeds
	for _, server := range n.allServers() {
		server.setSeeds(seeds)
	}
}

// setSeeds changes the seeds in the settings of a process, and reloads them if it is running.
func (s *simServer) setSeeds(seeds []string) {
	s.seeds = seeds
	s.network.logEvent("%s has the seeds %v", s.address, seeds)
	if process := s.running(); process != nil {
		process.server.Reload(s.settings())
	}
}

// restartAll powers all machines off and on.
func (n *simNetwork) restartAll() {
	n.powerOffAll()
	for _, server := range n.allServers() {
		if !server.removed {
			server.start(false)
		}
	}
	n.startMembers()
}

// withoutLeader waits up to foundWithin, and returns the running processes that have not known the leader at any moment in that time. A
// process may lose the leader's address for a moment, for example after one lost Join.
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

// stillWithoutLeader checks once those processes that were not yet found to know the leader, and returns those that still don't.
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

// playSearch runs a scenario in virtual time, and fails with the trace if a process does not know the leader in the end.
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

// TestLeaderIsFoundAfterAPowerLossThroughSeedsThatDoNotVote guards against a leader that no process finds (incident 0011).
func TestLeaderIsFoundAfterAPowerLossThroughSeedsThatDoNotVote(t *testing.T) {
	playSearch(t, 1, func(network *simNetwork) []string {
		network.setAllSeeds(network.nonVoters()[:minVoters])
		network.restartAll()
		return append(network.withoutLeader(), network.awaitService(servedWithin)...)
	})
}

// TestNewLeaderIsFoundThroughSeedsThatDoNotVote kills the leader while no seed has a vote.
func TestNewLeaderIsFoundThroughSeedsThatDoNotVote(t *testing.T) {
	playSearch(t, 1, func(network *simNetwork) []string {
		network.setAllSeeds(network.nonVoters()[:minVoters])
		network.leader().kill(true)
		network.stopMembers(true)
		network.startMembers()
		return append(network.withoutLeader(), network.awaitService(servedWithin)...)
	})
}

// TestLeaderIsFoundThroughSeedsThatItDoesNotHave gives the voters other seeds than the processes without a vote.
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

// TestEachProcessFindsTheLeaderWhateverItsSeeds draws seeds for each process, restarts some or all machines, loses disks, and checks after each
// step that every process knows the leader.
func TestEachProcessFindsTheLeaderWhateverItsSeeds(t *testing.T) {
	for _, seed := range seedsToPlay(searchSeedsVariable, simSeedVariable, searchSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playSearch(t, seed, searchScenario)
		})
	}
}

// searchScenario injects random faults, round by round, until a process does not find the leader.
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

// drawSeeds draws seeds for each process, at times the same for all.
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
