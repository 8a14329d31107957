package controlplane

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Faults of a deployment while messages are sent. Some of them overlap.

// loseDisksInTurn has every store lose its disk, one after another, so that no initial disk remains.
func (c *simScenario) loseDisksInTurn() {
	for _, store := range c.network.stores {
		time.Sleep(restoreTime)
		for !c.loseDisk(store) {
			time.Sleep(simPollInterval)
		}
	}
}

func (c *simScenario) injectFaults() {
	for end := time.Now().Add(deploymentFaultPhase); time.Now().Before(end); {
		c.injectFault()
		time.Sleep(c.network.between(200*time.Millisecond, 4*time.Second))
	}
}

// injectFault injects a random fault of a store, a dispatcher, all machines or the control processes.
func (c *simScenario) injectFault() {
	n := c.network
	store := n.stores[n.intN(len(n.stores))]
	switch n.intN(24) {
	case 0, 1:
		store.kill(false)
		time.Sleep(n.between(10*time.Millisecond, 2*time.Second))
		store.start()
	case 2:
		store.kill(true)
		time.Sleep(n.between(100*time.Millisecond, 4*time.Second))
		store.start()
	case 3:
		c.loseDisk(store)
	case 4:
		c.cutOff(store)
	case 5:
		dispatcher := n.dispatchers[n.intN(len(n.dispatchers))]
		dispatcher.kill()
		time.Sleep(n.between(10*time.Millisecond, 2*time.Second))
		dispatcher.start()
	case 6:
		n.logEvent("all machines stop")
		c.faults.restartAll()
	case 7, 8:
		c.cutPowerAfterAcceptance()
	case 9:
		heal := store.stall()
		n.logEvent("the disk of %s stalls", store.name)
		time.Sleep(n.between(300*time.Millisecond, 5*time.Second))
		heal()
	case 10:
		c.changeSeeds()
	case 15:
		c.stallSome()
	case 16:
		c.replaceStore(store)
	case 17:
		c.upgradeControl()
	case 11:
		c.configure()
	case 12:
		c.cutOffDispatcher()
	case 13, 14:
		c.cutOffFromControl(store)
	default:
		if time.Since(c.diskLostAt) > restoreTime {
			c.faults.inject()
		}
	}
}

// loseDisk loses the disk of a store if all earlier losses were recovered from, at times while all others lose power.
func (c *simScenario) loseDisk(store *simStore) (lost bool) {
	n := c.network
	if time.Since(c.diskLostAt) < restoreTime || !c.faults.mayLoseDisk() || !c.allWhole() {
		return false
	}
	store.loseDisk()
	if n.chance(0.4) {
		c.faults.restartAll()
	} else {
		time.Sleep(n.between(100*time.Millisecond, 3*time.Second))
		store.start()
	}
	c.diskLostAt = time.Now()
	return true
}

// cutOffFromControl cuts a store off from all control processes until its partitions have moved: dispatchers still send it the messages
// that they believe it owns.
func (c *simScenario) cutOffFromControl(store *simStore) {
	n := c.network
	n.cutLinks([]string{store.address}, n.addresses())
	n.cutLinks(n.addresses(), []string{store.address})
	n.logEvent("%s is cut off from control", store.name)
	time.Sleep(n.between(defaultStoreLease+leaseMargin, 2*defaultStoreLease))
	c.faults.heal()
}

// cutOffDispatcher cuts a dispatcher off from all control processes while the configuration changes.
func (c *simScenario) cutOffDispatcher() {
	n := c.network
	dispatcher := n.dispatchers[n.intN(len(n.dispatchers))]
	n.cutLinks([]string{dispatcher.name}, n.addresses())
	n.cutLinks(n.addresses(), []string{dispatcher.name})
	n.logEvent("%s is cut off from control", dispatcher.name)
	c.configure()
	time.Sleep(n.between(simApplyMs*time.Millisecond, 3*simApplyMs*time.Millisecond))
	c.faults.heal()
}

// cutPowerAfterAcceptance powers off all machines, or one store, right after a message was accepted.
func (c *simScenario) cutPowerAfterAcceptance() {
	n := c.network
	c.awaitAcceptance()
	if n.chance(0.7) {
		n.powerOffAll()
		c.startAll("")
		return
	}
	store := n.stores[n.intN(len(n.stores))]
	store.kill(true)
	time.Sleep(n.between(100*time.Millisecond, 3*time.Second))
	store.start()
}

// awaitAcceptance returns when a client learns that its message was accepted, or after restoreTime.
func (c *simScenario) awaitAcceptance() {
	acceptances := c.network.checker.acceptances
	select {
	case <-acceptances:
	default:
	}
	select {
	case <-acceptances:
		c.network.logEvent("right after a 202")
	case <-time.After(restoreTime):
	}
}

// changeSeeds changes the seeds in the settings of all machines, at times to processes without a vote.
func (c *simScenario) changeSeeds() {
	n := c.network
	var seeds []string
	if n.leader() != nil && n.chance(0.7) {
		seeds = c.shuffle(n.nonVoters())
	}
	for _, address := range c.shuffle(n.addresses()) {
		if !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	n.setAllSeeds(seeds[:simVoters])
}

// stallSome stalls all traffic of some machines while their clocks continue: half of the stores, all control processes but one, or any
// machines.
func (c *simScenario) stallSome() {
	n := c.network
	var held []string
	switch n.intN(3) {
	case 0:
		for _, store := range n.stores[:(len(n.stores)+1)/2] {
			held = append(held, store.address)
		}
	case 1:
		held = c.shuffle(n.addresses())[1:]
	default:
		for _, address := range n.allAddresses() {
			if n.chance(0.4) {
				held = append(held, address)
			}
		}
	}
	length := n.between(300*time.Millisecond, 3*time.Second)
	n.logEvent("%v are held up for %s", held, length)
	n.stallLinks(length, held...)
	time.Sleep(length)
}

// replaceStore adds a store, retires another one, and removes that machine once its retirement is complete.
func (c *simScenario) replaceStore(leaving *simStore) {
	n := c.network
	if c.retiring != nil || !c.allWhole() {
		c.removeRetired()
		return
	}
	n.addStore().start()
	operator := &simOperator{network: n, history: &simHistory{}}
	for end := time.Now().Add(retirementTimeout); c.retiring == nil && time.Now().Before(end); time.Sleep(simPollInterval) {
		answer := operator.callUntilDefinite(http.MethodPost, retirePath(leaving.name, "start"), "", `{"deadlineS":10}`)
		if answer.status == http.StatusOK {
			c.retiring = leaving
			n.logEvent("%s is to be retired", leaving.name)
		}
	}
	c.removeRetired()
}

// removeRetired waits up to retirementTimeout for the retirement to complete, and removes the machine.
func (c *simScenario) removeRetired() {
	n := c.network
	operator := &simOperator{network: n, history: &simHistory{}}
	for end := time.Now().Add(retirementTimeout); c.retiring != nil && time.Now().Before(end); time.Sleep(simPollInterval) {
		answer := operator.callUntilDefinite(http.MethodGet, retirePath(c.retiring.name, "read"), "", "")
		if answer.status == http.StatusOK && strings.Contains(answer.body, retirementCompleted) {
			n.logEvent("%s is retired", c.retiring.name)
			c.retiring.remove()
			c.retiring = nil
			c.retired++
			c.loseDisk(n.stores[n.intN(len(n.stores))]) // all copies of the retired store are elsewhere
		}
	}
}

func retirePath(node, verb string) string { return "/api/retire/" + node + "/" + verb }

// upgradeControl restarts the control processes in turn, each as a random version if there are several.
func (c *simScenario) upgradeControl() {
	n := c.network
	n.logEvent("control is upgraded")
	for _, server := range n.allServers() {
		if server.running() == nil {
			continue
		}
		server.kill(false)
		if server.version != (simVersion{}) {
			server.version = deploymentVersions[n.intN(len(deploymentVersions))]
		}
		server.start(false)
		time.Sleep(n.between(100*time.Millisecond, 1500*time.Millisecond))
	}
}

// allWhole reports whether every store is whole in the leader's state.
func (c *simScenario) allWhole() bool {
	leader := c.network.leader()
	if leader == nil || leader.running() == nil {
		return false
	}
	members := leader.running().server.state.committed().Stores
	return !slices.ContainsFunc(c.network.stores, func(store *simStore) bool {
		member := findStore(members, store.name)
		return member == nil || !member.Whole
	})
}

// cutOff cuts a store off from all others for a time, in both directions or one.
func (c *simScenario) cutOff(store *simStore) {
	n := c.network
	outward, inward := n.chance(0.7), n.chance(0.7)
	if outward {
		n.cutLinks([]string{store.address}, n.allAddresses())
	}
	if inward {
		n.cutLinks(n.allAddresses(), []string{store.address})
	}
	n.logEvent("%s is cut off, outward %t, inward %t", store.name, outward, inward)
	time.Sleep(n.between(300*time.Millisecond, 5*time.Second))
	c.faults.heal()
}
