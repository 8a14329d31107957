package controlplane

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	powerLossMembersVariable = "DARK_MEMBERS" // number of stores and dispatchers
	powerLossMembers         = 300
	powerLossMembersRace     = 60 // with the race detector
	membersPerStore          = 5  // of this many members, one is a store
	powerLossRoutes          = 1440
	simLinkMbps              = 100
	simWarmUp                = 14 * time.Second       // from the start to the first fault
	stableLeaderTime         = 5 * time.Second        // time for which the leader must remain after all members are served
	maxHeartbeatWait         = 175 * time.Millisecond // a quarter of the duration of the leader's lease
	electionTime             = 2 * time.Second        // until there is a leader that all members have found
)

// manyRoutes returns a configuration whose route names compress as badly as those of real operators.
func manyRoutes(version uint64) string {
	random := rand.New(rand.NewPCG(1, 1))
	names := make([]string, powerLossRoutes)
	for number := range names {
		names[number] = fmt.Sprintf("route-%x", random.Uint64())
	}
	return configWith(int(version), names...)
}

// TestAllMachinesReturnFromPowerLossAtOnce powers all machines off and on at the same time, and then kills the leader. All members need the
// leader's configuration over links that heartbeats share: the first leader must remain the leader, and all members must be served within
// twice the time that sending the bytes over one link takes.
func TestAllMachinesReturnFromPowerLossAtOnce(t *testing.T) {
	directory := t.TempDir()
	members := powerLossMembers
	if raceEnabled {
		members = powerLossMembersRace
	}
	if count, err := strconv.Atoi(os.Getenv(powerLossMembersVariable)); err == nil {
		members = count
	}
	synctest.Test(t, func(t *testing.T) {
		network := newGroupNetwork(t, 1, directory, simGroup{tolerance: 2, processes: 8})
		network.noDelays = true
		network.links = newSimLinks(simLinkMbps * bytesPerMegabit)
		network.addManyMembers(members/membersPerStore, members-members/membersPerStore)
		for _, server := range network.allServers() {
			server.start(true)
		}
		network.startMembers()
		time.Sleep(simWarmUp)
		operator := &simOperator{network: network, history: &simHistory{}}
		operator.read()
		operator.change(manyRoutes)
		if unserved := network.awaitService(servedWithin); len(unserved) > 0 {
			network.end()
			t.Fatalf("not served before the power loss:\n%s", strings.Join(unserved, "\n"))
		}
		needed := network.bytesForAll()
		within := electionTime + time.Duration(2*float64(needed)/network.links.rate*float64(time.Second))
		network.powerOffAll()
		time.Sleep(time.Second)
		for _, server := range network.allServers() {
			server.start(false)
		}
		network.startMembers()
		network.mustBeServedByOneLeader("after the power loss", within)
		network.leader().kill(true)
		sent := network.mustBeServedByOneLeader("after the loss of the leader", within)
		must.Less(t, needed/2, sent, must.Sprint("what members hold already is sent again"))
		network.end()
	})
}

// bytesForAll returns the number of bytes that all members need if they hold nothing.
func (n *simNetwork) bytesForAll() int {
	state := n.leader().running().server.state.committed()
	needed := len(configPart(state).Data) + len(mapPart(state, n.tolerance+1).Data)
	return needed * len(n.members)
}

// mustBeServedByOneLeader waits until all members are served, and checks that there was only one leader and that no heartbeat was delayed for
// long. It returns the number of bytes streamed in that time.
func (n *simNetwork) mustBeServedByOneLeader(moment string, within time.Duration) int {
	began, epochs := time.Now(), map[uint64]bool{}
	n.links.longestHeartbeatWait()
	sent := n.links.streamedBytes()
	served := time.Duration(0)
	for time.Since(began) < within+stableLeaderTime {
		time.Sleep(simPollInterval)
		if leader := n.leader(); leader != nil {
			epochs[leader.running().server.node.Status().Epoch] = true
		}
		if served == 0 && len(n.unserved()) == 0 {
			served = time.Since(began)
		}
	}
	waited := n.links.longestHeartbeatWait()
	sent = n.links.streamedBytes() - sent
	n.t.Logf("%s: all %d served after %s of %s, %d leaders, heartbeats waited %s at most, %d bytes streamed", moment, len(n.members), served,
		within, len(epochs), waited, sent)
	must.Positive(n.t, served)
	must.LessEq(n.t, within, served)
	must.Eq(n.t, 1, len(epochs), must.Sprint(moment))
	must.Less(n.t, maxHeartbeatWait, waited)
	return sent
}
