package controlplane

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/coord/failover"
)

const (
	deploymentSeedsVariable = "DEPLOYMENT_SEEDS" // number of seeds to run
	deploymentSeedVariable  = "DEPLOYMENT_SEED"  // runs only this seed
	deploymentSeeds         = 4
	deploymentSeedsRace     = 2 // with the race detector
	deploymentFaultPhase    = 40 * time.Second
	deploymentDrainTimeout  = 60 * time.Second // within which all accepted messages must end after the last fault
	deploymentSendEvery     = 60 * time.Millisecond
	deploymentMaxStartGap   = 500 * time.Millisecond // longest time between the starts of two machines after a power loss
	deploymentQuietPhase    = 5 * time.Second
	servedShare             = 0.25 // minimum share of requests that are accepted once the recovery time has passed
	keptRoutes              = 8
	retirementTimeout       = 20 * time.Second // how long the scenario waits for a retirement to complete
	restoreTime             = 8 * time.Second  // between two lost disks
)

// TestDeploymentKeepsMessages runs the real control processes, stores and dispatchers with simulated clients and workers, while machines fail
// and at last all lose power at the same time. Accepted messages must complete, in order and, once there are no faults, only once, and every
// dispatcher must report that; refused messages must never run; service must be restored in time.
func TestDeploymentKeepsMessages(t *testing.T) {
	usual := uint64(deploymentSeeds)
	if raceEnabled {
		usual = deploymentSeedsRace
	}
	for _, seed := range seedsToPlay(deploymentSeedsVariable, deploymentSeedVariable, usual) {
		for _, group := range simGroups {
			t.Run(fmt.Sprintf("%d/%d losses", seed, group.tolerance), func(t *testing.T) {
				t.Parallel()
				directory := t.TempDir()
				synctest.Test(t, func(t *testing.T) { playDeployment(t, seed, directory, group) })
			})
		}
	}
}

// deploymentVersions run side by side under every second seed: the current version, and one with longer leases. Both know the longer duration.
var deploymentVersions = []simVersion{
	{timing: failover.Timing{LongestLease: time.Second}},
	{timing: failover.Timing{Lease: time.Second, Margin: 150 * time.Millisecond, LongestLease: time.Second}, storeLease: 2 * time.Second},
}

func playDeployment(t *testing.T, seed uint64, directory string, group simGroup) {
	network := newGroupNetwork(t, seed, directory, group)
	network.checker = newSimChecker(network)
	network.addStores(group.tolerance + 3)
	network.addDispatchers(simDispatchers)
	for number, server := range network.allServers() {
		if seed%2 == 1 {
			server.version = deploymentVersions[number%len(deploymentVersions)]
		}
		server.start(true)
	}
	network.startMembers()
	scenario := &simScenario{network: network, stopSending: make(chan struct{}), faults: &simFaults{network: network, group: group}, maxStartGap: deploymentMaxStartGap}
	must.Eq(t, http.StatusOK, scenario.configure())
	time.Sleep(3 * time.Second)
	network.checker.requests.Go(scenario.sendMessages)
	for _, store := range network.stores {
		scenario.cutOffFromControl(store)
	}
	if seed%4 == 1 {
		scenario.loseDisksInTurn()
	} else {
		scenario.injectFaults()
	}
	scenario.finish()
	network.end()
	scenario.report()
}

// simScenario is the load of a deployment and the faults that are injected.
type simScenario struct {
	network     *simNetwork
	faults      *simFaults
	diskLostAt  time.Time     // when the last disk was lost
	routes      []string      // all configured routes, the latest last
	retiring    *simStore     // the store that is retiring; nil for none
	retired     int           // number of stores that were retired and removed
	maxStartGap time.Duration // longest time between the starts of two machines after a power loss
	stopSending chan struct{} // closed when no more messages are sent
}

// configure replaces the configuration by one with a further route. Messages are sent on that route once the configuration must be in
// force. Earlier routes remain as long as messages may be sent on them.
func (c *simScenario) configure() (status int) {
	n := c.network
	operator := &simOperator{network: n, history: &simHistory{}}
	operator.read()
	c.routes = append(c.routes, fmt.Sprintf("work-%d", len(c.routes)))
	route, kept := c.routes[len(c.routes)-1], c.routes[max(0, len(c.routes)-keptRoutes):]
	version := int(operator.known) + 1
	status = operator.callUntilDefinite(http.MethodPost, replacePath, fmt.Sprint(operator.known), configWith(version, kept...)).status
	if status == http.StatusOK {
		n.logEvent("configuration %d with %s", version, route)
		time.AfterFunc(simApplyMs*time.Millisecond, func() {
			n.mutex.Lock()
			n.route = route
			n.mutex.Unlock()
		})
	}
	return status
}

// sendMessages sends messages until stopSending is closed.
func (c *simScenario) sendMessages() {
	n := c.network
	for number := 0; ; number++ {
		select {
		case <-c.stopSending:
			return
		case <-time.After(n.between(deploymentSendEvery/2, 3*deploymentSendEvery/2)):
		}
		n.checker.send(number)
	}
}

// startAll starts all machines except absent, one by one in random order.
func (c *simScenario) startAll(absent string) {
	n := c.network
	starts := map[string]func(){}
	for _, server := range n.allServers() {
		if !server.removed {
			starts[server.address] = func() { server.start(false) }
		}
	}
	for _, store := range n.stores {
		starts[store.address] = store.start
	}
	for _, dispatcher := range n.dispatchers {
		starts[dispatcher.name] = dispatcher.start
	}
	delete(starts, absent)
	for _, address := range c.shuffle(slices.Sorted(maps.Keys(starts))) {
		time.Sleep(n.between(time.Millisecond, c.maxStartGap))
		starts[address]()
	}
}

func (c *simScenario) shuffle(addresses []string) []string {
	random := rand.New(rand.NewPCG(uint64(c.network.intN(1<<20)), 0))
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// finish ends the faults with a power loss of all machines, and checks that service is restored and that every message has ended.
func (c *simScenario) finish() {
	n, j := c.network, c.network.checker
	c.faults.heal()
	c.powerCycle()
	time.Sleep(servedWithin)
	back := time.Now()
	time.Sleep(deploymentQuietPhase)
	accepted, sent := j.acceptedSince(back)
	if float64(accepted) < servedShare*float64(sent) {
		j.violate("RECOVER", &simMessage{sentAt: back}, "%s after the machines were back %d of %d messages were accepted\n%s", servedWithin, accepted, sent,
			strings.Join(n.describe(), "\n"))
	}
	c.faults.clearAll()
	n.startMembers()
	time.Sleep(servedWithin)
	if status := c.configure(); status != http.StatusOK {
		j.violate("CONFIG", &simMessage{sentAt: time.Now()}, "status %d of a change in calm", status)
	}
	time.Sleep(simApplyMs * time.Millisecond)
	j.mutex.Lock()
	j.faultFreeSince = time.Now()
	j.mutex.Unlock()
	time.Sleep(deploymentQuietPhase)
	close(c.stopSending)
	j.requests.Wait()
	for end := time.Now().Add(deploymentDrainTimeout); j.unfinished() > 0 && time.Now().Before(end); {
		time.Sleep(time.Second)
	}
	time.Sleep(deploymentQuietPhase)
	j.checkStates()
}

// powerCycle powers all machines off at the same time. If the group tolerates it, one store or control process may not return.
func (c *simScenario) powerCycle() {
	n := c.network
	bears := time.Since(c.diskLostAt) > restoreTime && c.faults.mayLoseDisk() && c.allWhole()
	if n.chance(0.5) {
		c.changeSeeds()
		time.Sleep(deploymentQuietPhase)
	}
	c.awaitAcceptance()
	n.powerOffAll()
	absent := ""
	if bears && n.chance(0.7) {
		absent = n.stores[n.intN(len(n.stores))].address
		if servers := n.addresses(); n.chance(0.5) {
			absent = servers[n.intN(len(servers))]
		}
		n.logEvent("%s does not come back", absent)
	}
	c.startAll(absent)
}

// report fails the test if a guarantee was violated.
func (c *simScenario) report() {
	j := c.network.checker
	j.mutex.Lock()
	defer j.mutex.Unlock()
	accepted, refused, starts := 0, 0, 0
	for _, m := range j.messages {
		starts += m.starts
		if m.refused {
			refused++
		}
		if !m.acceptedAt.IsZero() {
			accepted++
		}
	}
	c.network.t.Logf("%d messages, %d accepted, %d refused, %d runs, %d stores retired, %d violations", len(j.messages), accepted, refused, starts,
		c.retired, len(j.violations))
	if len(j.violations) > 0 {
		c.network.t.Fatalf("%s\n%s", strings.Join(j.violations[:min(12, len(j.violations))], "\n"), strings.Join(c.network.trace, "\n"))
	}
	must.Greater(c.network.t, len(j.messages)/4, accepted)
}
