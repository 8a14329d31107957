package controlplane

import (
	"net/http"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	largeVariable          = "LARGE_DEPLOYMENT" // runs the full size
	largeZones             = 6
	largeZoneAway          = 4 * time.Second
	largeRaces             = 3
	largeQueriesPerMessage = 2 // dispatchers that are asked for the state of each message
	largeRest              = 6 * time.Second
	largeMaxStartGap       = 3 * time.Millisecond // longest time between the starts of two machines after a power loss
)

// largeSize is a number of machines in largeZones zones.
type largeSize struct{ controls, stores, dispatchers int }

var (
	largeWhole = largeSize{controls: 12, stores: 60, dispatchers: 240}
	largeShort = largeSize{controls: 12, stores: 18, dispatchers: 36}
	largeRace  = largeSize{controls: 6, stores: 12, dispatchers: 18} // with the race detector
)

// TestLargeDeploymentKeepsMessages powers a zone off, kills leaders while hundreds of members renew and two operators change the configuration
// concurrently, and powers all machines off, which return almost at the same time. The guarantees are those of TestDeploymentKeepsMessages.
func TestLargeDeploymentKeepsMessages(t *testing.T) {
	size := largeShort
	if raceEnabled {
		size = largeRace
	}
	if os.Getenv(largeVariable) != "" {
		size = largeWhole
	}
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) { playLargeDeployment(t, directory, size) })
}

func playLargeDeployment(t *testing.T, directory string, size largeSize) {
	group := simGroup{tolerance: 2, processes: size.controls}
	network := newGroupNetwork(t, 1, directory, group)
	defer network.end()
	network.links = newSimLinks(simLinkMbps * bytesPerMegabit)
	network.checker = newSimChecker(network)
	network.checker.queriesPerMessage = largeQueriesPerMessage
	network.addStores(size.stores)
	network.addDispatchers(size.dispatchers)
	network.spreadOverZones(largeZones)
	for _, server := range network.allServers() {
		server.start(true)
	}
	network.startMembers()
	scenario := &simScenario{network: network, stopSending: make(chan struct{}), faults: &simFaults{network: network, group: group}, maxStartGap: largeMaxStartGap}
	time.Sleep(largeRest)
	must.Eq(t, http.StatusOK, scenario.configure())
	time.Sleep(largeRest)
	network.checker.requests.Go(scenario.sendMessages)
	scenario.loseZone(zoneName(1))
	time.Sleep(largeRest)
	for range largeRaces {
		scenario.raceWithoutLeader()
	}
	scenario.finish()
	scenario.report()
}

// spreadOverZones distributes all machines over a few zones.
func (n *simNetwork) spreadOverZones(zones int) {
	for number, server := range n.allServers() {
		server.zone = zoneName(number % zones)
	}
	for number, store := range n.stores {
		store.zone = zoneName(number % zones)
	}
	for number, dispatcher := range n.dispatchers {
		dispatcher.zone = zoneName(number % zones)
	}
}

// loseZone powers off all machines of a zone, and starts them again after largeZoneAway.
func (c *simScenario) loseZone(zone string) {
	n := c.network
	n.logEvent("%s loses power", zone)
	for _, server := range n.allServers() {
		if server.zone == zone {
			server.kill(true)
		}
	}
	for _, store := range n.stores {
		if store.zone == zone {
			store.kill(true)
		}
	}
	for _, dispatcher := range n.dispatchers {
		if dispatcher.zone == zone {
			dispatcher.kill()
		}
	}
	time.Sleep(largeZoneAway)
	n.startServers()
	n.startMembers()
}

// raceWithoutLeader has two operators change the configuration based on the same version while the leader is killed.
func (c *simScenario) raceWithoutLeader() {
	n := c.network
	leader := n.leader()
	for leader == nil {
		time.Sleep(simPollInterval)
		leader = n.leader()
	}
	second := &simOperator{network: n, history: &simHistory{}}
	second.read()
	routes := slices.Clone(c.routes)
	statuses := make(chan int, 1)
	go func() {
		answer := second.tryChange(func(version uint64) string { return configWith(int(version), routes...) })
		statuses <- answer.status
	}()
	leader.kill(false)
	status := c.configure()
	leader.start(false)
	n.logEvent("two operators received %d and %d", status, <-statuses)
	time.Sleep(largeRest)
}
