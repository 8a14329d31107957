package controlplane

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	simSeedsVariable  = "CONTROLPLANE_SEEDS" // number of seeds to run
	simSeedVariable   = "CONTROLPLANE_SEED"  // runs only this seed
	simSeeds          = 16
	simFaultPhase     = 50 * time.Second
	simQuietPhase     = 20 * time.Second
	simVoters         = 3
	simOperators      = 3
	simCheckTimeout   = 20 * time.Second // real time
	simProposeTimeout = 50 * time.Millisecond
	overlapNote       = "a loss while another lasts"
)

// simGroup is the size of a simulated group of control processes.
type simGroup struct {
	tolerance int // machines that may fail at the same time
	processes int
}

// voters returns the number of voters that the group has.
func (g simGroup) voters() int { return 2*g.tolerance + 1 }

// simGroups tolerate one and two lost machines.
var simGroups = []simGroup{{tolerance: 1, processes: 4}, {tolerance: 2, processes: 8}}

// TestOperatorsSeeOneConfiguration has operators change, repeat and read the configuration through processes that are cut off, killed,
// powered off, wiped or replaced, and checks the history for linearizability: each version has one content, no repeated request is rejected,
// no read returns an earlier version, and no request is rejected because of a version that was replaced.
func TestOperatorsSeeOneConfiguration(t *testing.T) {
	for _, seed := range seedsToPlay(simSeedsVariable, simSeedVariable, simSeeds) {
		for _, group := range simGroups {
			t.Run(fmt.Sprintf("%d/%d losses", seed, group.tolerance), func(t *testing.T) {
				t.Parallel()
				directory := t.TempDir()
				var history *simHistory
				var trace []string
				synctest.Test(t, func(t *testing.T) { history, trace = playOperators(t, seed, directory, group) })
				checkHistory(t, history, trace)
			})
		}
	}
}

// seedsToPlay returns the seed in the environment variable seedVariable, else as many seeds as countVariable says, else the usual number.
func seedsToPlay(countVariable, seedVariable string, usual uint64) []uint64 {
	if seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		return []uint64{seed}
	}
	if count, err := strconv.ParseUint(os.Getenv(countVariable), 10, 64); err == nil {
		usual = count
	}
	seeds := make([]uint64, usual)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

// newGroupNetwork adds the control processes of a group, of which the first simVoters are the seeds. It starts none of them.
func newGroupNetwork(t *testing.T, seed uint64, directory string, group simGroup) *simNetwork {
	network := newSimNetwork(t, seed, directory)
	network.tolerance = group.tolerance
	for number := range group.processes {
		server := network.addServer()
		if number < simVoters {
			network.seeds = append(network.seeds, server.address)
		}
	}
	return network
}

// checkHistory searches for an order of the calls in which each outcome follows from the previous ones.
func checkHistory(t *testing.T, history *simHistory, trace []string) {
	result := porcupine.CheckOperationsTimeout(configModel, history.operations, simCheckTimeout)
	overlaps := 0
	for _, line := range trace {
		if strings.Contains(line, overlapNote) {
			overlaps++
		}
	}
	t.Logf("%d requests confirmed, %d of them repeats, %d refused, %d reads, %d calls in all, %d losses while another lasted: %s", history.confirmed,
		history.repeats, history.refused, history.reads, len(history.operations), overlaps, result)
	if result == porcupine.Ok && history.violation == "" {
		must.Positive(t, history.confirmed)
		must.Positive(t, history.reads)
		must.Positive(t, history.confirms)
		return
	}
	lines := make([]string, 0, len(history.operations))
	for _, each := range history.operations {
		lines = append(lines, fmt.Sprintf("%8.3f to %8.3f: %+v: %+v", float64(each.Call)/1e9, float64(each.Return)/1e9, each.Input, each.Output))
	}
	t.Fatalf("%s %s\n%s\n%s", result, history.violation, strings.Join(trace, "\n"), strings.Join(lines, "\n"))
}

func playOperators(t *testing.T, seed uint64, directory string, group simGroup) (*simHistory, []string) {
	network := newGroupNetwork(t, seed, directory, group)
	for _, server := range network.allServers() {
		server.start(true)
	}
	network.addMembers()
	network.startMembers()
	time.Sleep(3 * time.Second)
	history := &simHistory{}
	go confirmRenewals(network, history)
	for number := range simOperators {
		go (&simOperator{network: network, history: history, number: number}).run()
	}
	faults := &simFaults{network: network, group: group}
	for end := time.Now().Add(simFaultPhase); time.Now().Before(end); {
		faults.inject()
		time.Sleep(network.between(200*time.Millisecond, 4*time.Second))
	}
	faults.clearAll()
	time.Sleep(simQuietPhase)
	if unserved := network.awaitService(servedWithin); len(unserved) > 0 {
		history.violate("not served after the faults\n%s", strings.Join(unserved, "\n"))
	}
	finalRead := &simOperator{network: network, history: history, number: simOperators}
	if !finalRead.read() {
		history.violate("nothing can be read after the faults\n%s", strings.Join(network.describe(), "\n"))
	}
	network.end()
	return history, network.trace
}

// confirmRenewals renews as a dispatcher at random processes, and compares the version in a leader's reply with the highest version confirmed
// to an operator before the renewal was sent.
func confirmRenewals(network *simNetwork, history *simHistory) {
	request := &rpc.RenewRequest{Node: "front-1", Incarnation: "1", Zone: "1", Role: roleDispatcher}
	for {
		select {
		case <-network.ended:
			return
		case <-time.After(network.between(10*time.Millisecond, 300*time.Millisecond)):
		}
		servers := network.allServers()
		process := servers[network.intN(len(servers))].running()
		if process == nil {
			continue
		}
		history.mutex.Lock()
		newest := history.newest
		history.mutex.Unlock()
		reply, err := (&service{server: process.server}).Renew(context.Background(), request)
		if err != nil || !reply.Leader {
			continue
		}
		if reply.ConfigVersion < newest {
			history.violate("a renewal named version %d as the newest, after %d had been confirmed", reply.ConfigVersion, newest)
		}
		history.mutex.Lock()
		history.confirms++
		history.mutex.Unlock()
	}
}

// simFaults injects random faults and clears them. It loses no more disks at the same time than the group tolerates.
type simFaults struct {
	network  *simNetwork
	group    simGroup
	cutUntil time.Time
	isolated *simServer // the only process that is cut off; nil if other links fail
	replaced bool
}

// inject injects one random fault.
func (f *simFaults) inject() {
	n := f.network
	if !f.cutUntil.IsZero() && time.Now().After(f.cutUntil) {
		f.heal()
	}
	target := n.allServers()[n.intN(len(n.allServers()))]
	if leader := n.leader(); leader != nil && n.chance(0.5) {
		target = leader
	}
	switch n.intN(12) {
	case 0, 1, 2:
		f.cutOff(target)
	case 3:
		f.split()
	case 4, 5:
		f.restart(target, false, n.between(10*time.Millisecond, 2*time.Second))
	case 6:
		f.restart(target, true, n.between(100*time.Millisecond, 4*time.Second))
	case 7:
		f.restartAll()
	case 8, 9:
		f.loseDisk(target)
	case 10:
		f.replace(target)
	case 11:
		n.mutex.Lock()
		n.lossRate = 0.2
		n.mutex.Unlock()
		f.cutUntil, f.isolated = time.Now().Add(n.between(time.Second, 5*time.Second)), nil
		n.logEvent("calls are lost")
	}
}

// heal restores all links.
func (f *simFaults) heal() {
	f.network.heal()
	f.cutUntil, f.isolated = time.Time{}, nil
	f.network.logEvent("links are back")
}

// cutOff cuts a process off from the others, in both directions or one, for up to 20 s. Operators still reach all processes.
func (f *simFaults) cutOff(target *simServer) {
	n := f.network
	length := n.between(time.Second, 20*time.Second)
	both, outward := n.chance(0.6), n.chance(0.5)
	switch {
	case both:
		n.cut([]*simServer{target}, n.allServers(), true)
	case outward:
		n.cut([]*simServer{target}, n.allServers(), false)
	default:
		n.cut(n.allServers(), []*simServer{target}, false)
	}
	f.isolated = nil
	if f.cutUntil.IsZero() {
		f.isolated = target
	}
	f.cutUntil = time.Now().Add(length)
	n.logEvent("%s is cut off, both ways %t, outward %t, for %s", target.address, both, outward, length)
}

// split cuts the processes into two random halves.
func (f *simFaults) split() {
	n := f.network
	var halves [2][]*simServer
	for _, server := range n.allServers() {
		half := n.intN(2)
		halves[half] = append(halves[half], server)
	}
	n.cut(halves[0], halves[1], true)
	f.cutUntil, f.isolated = time.Now().Add(n.between(time.Second, 15*time.Second)), nil
	n.logEvent("two halves")
}

// restart kills a process and starts it again after a time.
func (f *simFaults) restart(target *simServer, powerLoss bool, length time.Duration) {
	if target.running() == nil {
		return
	}
	target.kill(powerLoss)
	time.Sleep(length)
	if !target.removed {
		target.start(false)
	}
}

func (f *simFaults) restartAll() {
	n := f.network
	powerLoss := n.chance(0.5)
	for _, server := range n.allServers() {
		server.kill(powerLoss)
	}
	if powerLoss {
		n.stopMembers(true)
	}
	for _, server := range n.allServers() {
		time.Sleep(n.between(time.Millisecond, 800*time.Millisecond))
		if !server.removed {
			server.start(false)
		}
	}
	n.startMembers()
}

// mayLoseDisk reports whether the group tolerates another lost disk: no change of the voters is in progress, and fewer voters than the
// tolerance are cut off or not running on the disk that the member list names. During a change the status contains only the new list, but
// a majority of the old one is still needed.
func (f *simFaults) mayLoseDisk() bool {
	leader := f.network.leader()
	if leader == nil || !f.cutUntil.IsZero() && f.isolated == nil || !isSettled(leader) {
		return false
	}
	voters := leader.running().server.node.Status().Members
	if len(voters) != f.group.voters() {
		return false
	}
	lost := 0
	if f.isolated != nil {
		lost++
	}
	for _, voter := range voters {
		server := f.network.serverAt(voter.Address)
		process := server.running()
		if server != f.isolated && (process == nil || process.server.identity() != voter.ID) {
			lost++
		}
	}
	if lost > 0 && lost < f.group.tolerance {
		f.network.logEvent("%s, %d in all", overlapNote, lost+1)
	}
	return lost < f.group.tolerance
}

// isSettled reports whether no change of the voters is in progress: then an empty change completes at once.
func isSettled(leader *simServer) bool {
	process := leader.running()
	if process == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), simProposeTimeout)
	defer cancel()
	return process.server.node.ProposeMembers(ctx, nil, "") == nil
}

// loseDisk replaces the disk of a process by an empty one, at times while all others lose power.
func (f *simFaults) loseDisk(target *simServer) {
	if !f.mayLoseDisk() || target.running() == nil {
		return
	}
	n := f.network
	n.logEvent("%s loses its disk", target.address)
	target.kill(true)
	target.newDisk()
	if n.chance(0.4) {
		f.restartAll()
		return
	}
	time.Sleep(n.between(100*time.Millisecond, 3*time.Second))
	target.start(false)
}

// replace removes a process permanently and adds an empty one at another address.
func (f *simFaults) replace(target *simServer) {
	if f.replaced || !f.mayLoseDisk() || target.running() == nil {
		return
	}
	f.replaced = true
	f.network.logEvent("%s is replaced", target.address)
	target.kill(true)
	f.network.mutex.Lock()
	target.removed = true
	f.network.mutex.Unlock()
	time.Sleep(f.network.between(10*time.Millisecond, 2*time.Second))
	f.network.addServer().start(false)
}

// clearAll clears all faults.
func (f *simFaults) clearAll() {
	f.network.heal()
	f.network.startServers()
	f.network.logEvent("all faults are cleared")
}
