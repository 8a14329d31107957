package controlplane

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	manyChanges          = 1000
	slowestLinkBytesPerS = 30 << 17 // 30 Mbit/s
	maxCatchUp           = 2 * time.Second
	maxLargeCatchUp      = 15 * time.Second // for the largest configuration over the slowest link
)

// inGroup runs a scenario with three control processes, one of which leads.
func inGroup(t *testing.T, scenario func(t *testing.T, network *simNetwork, operator *simOperator)) {
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		network := newSimNetwork(t, 1, directory)
		for range simVoters {
			network.seeds = append(network.seeds, network.addServer().address)
		}
		for _, server := range network.allServers() {
			server.start(true)
		}
		time.Sleep(3 * time.Second)
		defer network.endAndLog()
		scenario(t, network, &simOperator{network: network, history: &simHistory{}})
	})
}

// change replaces the configuration based on the latest one, and requires that this is confirmed.
func (o *simOperator) change(body func(version uint64) string) {
	answer := o.tryChange(body)
	must.EqOp(o.network.t, http.StatusOK, answer.status, must.Sprint(answer.body))
}

// tryChange is like change, but the outcome may remain unknown.
func (o *simOperator) tryChange(body func(version uint64) string) apiResponse {
	version := o.known + 1
	answer := o.callUntilDefinite(http.MethodPost, replacePath, strconv.FormatUint(o.known, 10), body(version))
	if answer.status == http.StatusOK {
		o.known = version
	}
	return answer
}

func oneRoute(version uint64) string { return configWith(int(version), "a") }

// follower returns a running server that does not lead.
func (n *simNetwork) follower() *simServer {
	for _, server := range n.allServers() {
		if process := server.running(); process != nil && !process.server.node.Status().Leader {
			return server
		}
	}
	return nil
}

// awaitCaughtUp waits until a server has a configuration version, and returns how long that took.
func (s *simServer) awaitCaughtUp(version uint64, limit time.Duration) time.Duration {
	began := time.Now()
	for s.running().server.state.committed().ConfigVersion < version {
		must.Less(s.network.t, limit, time.Since(began), must.Sprint("it does not catch up"))
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// TestMemberThatWasOffForAThousandChangesCatchesUpByOneTransfer also covers a member that returns while changes continue. If
// the transfer takes longer than the leader needs to save the address of the returned member, that version arrives by a
// second transfer.
func TestMemberThatWasOffForAThousandChangesCatchesUpByOneTransfer(t *testing.T) {
	inGroup(t, func(t *testing.T, network *simNetwork, operator *simOperator) {
		operator.change(oneRoute)
		off := network.follower()
		off.kill(true)
		var sizes []int
		for number := range manyChanges {
			operator.change(oneRoute)
			if number%(manyChanges/4) == manyChanges/4-1 {
				sizes = append(sizes, len(network.leader().running().server.node.Status().State))
			}
		}
		carried, earlier := network.received(off)
		versionBefore := network.leader().running().server.node.Status().StateSeq
		off.start(false)
		took := off.awaitCaughtUp(operator.known, maxCatchUp)
		time.Sleep(time.Second) // lets changes made by the leader itself be committed
		written := network.leader().running().server.node.Status().StateSeq - versionBefore
		carriedAfter, transfers := network.received(off)
		transfers = transfers[len(earlier):]
		t.Logf("caught up after %s with %d bytes in the transfers %v; the state has %v bytes after each quarter of %d changes",
			took, carriedAfter-carried, transfers, sizes, manyChanges)
		must.LessEq(t, 1, written)
		must.SliceNotEmpty(t, transfers)
		must.LessEq(t, 1+int(written), len(transfers))
		must.EqOp(t, len(transfers), len(slices.Compact(slices.Sorted(slices.Values(transfers)))), must.Sprint("a version came twice"))
		must.Less(t, 64<<10, sizes[len(sizes)-1]) // the size is bounded because the number of digests is
		stopped := make(chan struct{})
		ended := make(chan struct{})
		go func() { // changes continue
			defer close(ended)
			for {
				select {
				case <-stopped:
					return
				default:
					operator.change(oneRoute)
				}
			}
		}()
		off.kill(true)
		time.Sleep(time.Second)
		before := network.leader().running().server.state.committed().ConfigVersion
		off.start(false)
		off.awaitCaughtUp(before, maxCatchUp)
		close(stopped)
		<-ended
	})
}

// TestMemberThatIsStoppedWhileItCatchesUp stops a member at random times during the transfer; it must catch up in the end.
func TestMemberThatIsStoppedWhileItCatchesUp(t *testing.T) {
	inGroup(t, func(t *testing.T, network *simNetwork, operator *simOperator) {
		operator.change(oneRoute)
		off := network.follower()
		for range 20 {
			off.kill(true)
			for range 10 {
				operator.change(oneRoute)
			}
			off.start(false)
			time.Sleep(network.between(time.Millisecond, 300*time.Millisecond))
		}
		off.awaitCaughtUp(operator.known, maxCatchUp)
		must.EqOp(t, 3, len(network.leader().running().server.node.Status().Members))
	})
}

// TestLargestConfigurationComesThroughTheSlowestLink measures the transfer to a member that was off, on a link of 30 Mbit/s.
func TestLargestConfigurationComesThroughTheSlowestLink(t *testing.T) {
	inGroup(t, func(t *testing.T, network *simNetwork, operator *simOperator) {
		operator.change(oneRoute)
		off := network.follower()
		off.kill(true)
		network.mutex.Lock()
		network.rate = slowestLinkBytesPerS
		network.mutex.Unlock()
		operator.change(largestConfig)
		time.Sleep(10 * time.Second) // no transfer is in progress any more
		began := time.Now()
		off.start(false)
		off.awaitCaughtUp(operator.known, maxLargeCatchUp)
		t.Logf("%d bytes, caught up after %s", len(largestConfig(operator.known)), time.Since(began))
	})
}

// largestConfig returns a configuration of nearly maxBodyBytes.
func largestConfig(version uint64) string {
	const routeBytes = 242 // size of a route in the configuration
	routes := make([]string, 0, maxBodyBytes/routeBytes)
	for number := range cap(routes) {
		routes = append(routes, fmt.Sprintf("route-%06d", number))
	}
	return configWith(int(version), routes...)
}

// TestMemberWithAnOldRecordNeverLeads has a member return with a record that lacks hundreds of changes. It must not become the leader
// before a member with the latest state returns.
func TestMemberWithAnOldRecordNeverLeads(t *testing.T) {
	inGroup(t, func(t *testing.T, network *simNetwork, operator *simOperator) {
		operator.change(oneRoute)
		old := network.follower()
		old.kill(true)
		for range 300 {
			operator.change(oneRoute)
		}
		var others []*simServer
		for _, server := range network.allServers() {
			if server != old {
				others = append(others, server)
				server.kill(true)
			}
		}
		old.start(false)
		time.Sleep(10 * time.Second)
		must.Nil(t, network.leader())
		others[0].start(false)
		time.Sleep(5 * time.Second)
		must.EqOp(t, others[0], network.leader())
		version, _ := readBackVersion(operator)
		must.EqOp(t, operator.known, version)
	})
}

func readBackVersion(operator *simOperator) (uint64, int) {
	answer := operator.callUntilDefinite(http.MethodGet, readPath, "", "")
	version, request := readBack(answer.body)
	return version, request
}

// TestMemberWithTornRecordJoinsUnderNewIdentity damages both files of a record: the process has lost its votes, so it must join under
// a new identity and replace the lost one.
func TestMemberWithTornRecordJoinsUnderNewIdentity(t *testing.T) {
	inGroup(t, func(t *testing.T, network *simNetwork, operator *simOperator) {
		operator.change(oneRoute)
		torn := network.follower()
		before := torn.running().server.identity()
		torn.kill(true)
		for number := range 2 {
			path := filepath.Join(torn.folder(), recordFileName+"."+strconv.Itoa(number))
			must.NoError(t, os.WriteFile(path, []byte(strings.Repeat("torn", 100)), 0o600))
		}
		torn.start(false)
		must.NotEqOp(t, before, torn.running().server.identity())
		operator.change(oneRoute)
		torn.awaitCaughtUp(operator.known, 6*time.Second)
		isExchanged := func() bool {
			members := network.leader().running().server.node.Status().Members
			return isVoter(members, torn.running().server.identity()) && !isVoter(members, before)
		}
		for began := time.Now(); !isExchanged(); time.Sleep(50 * time.Millisecond) {
			must.Less(t, 6*time.Second, time.Since(began))
		}
	})
}

// TestVoterIsExchangedBeforeTheNextLoss replaces machines by empty ones at other addresses, one after another: the group must recover from
// each loss within syncS, before the next one may occur. If the leader was lost, an election of random duration comes on top.
func TestVoterIsExchangedBeforeTheNextLoss(t *testing.T) {
	const (
		syncS       = 4400 * time.Millisecond // from the start of the successor
		maxElection = 3 * time.Second
	)
	inGroup(t, func(t *testing.T, network *simNetwork, operator *simOperator) {
		operator.change(oneRoute)
		for round := range 4 {
			lost := network.follower()
			if round%2 == 1 {
				lost = network.leader()
			}
			lost.kill(true)
			network.mutex.Lock()
			lost.removed = true
			network.mutex.Unlock()
			began := time.Now()
			time.Sleep(time.Second)
			network.seeds = network.addresses()
			network.addServer().start(false)
			for !network.hasRecovered() {
				must.Less(t, time.Second+syncS+maxElection, time.Since(began), must.Sprint("round ", round))
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(began)
			t.Logf("leader lost %t: replaced after %s", round%2 == 1, took)
			if round%2 == 0 {
				must.Less(t, time.Second+syncS, took)
			}
			operator.change(oneRoute)
		}
	})
}
