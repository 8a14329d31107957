package controlplane

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	deployFile      = "../../deploy/system.toml"
	startupTime     = 6 * time.Second // until the first voters are complete
	lostDiskRestart = 500 * time.Millisecond
	cutAfterLoss    = 1200 * time.Millisecond
	confirmedWithin = 4 * time.Second // after the second loss; the shortest ackMs of a deployment is 5 s
)

// layout describes the machines with a disk that may run the control role in a deployment.
type layout struct {
	zones        int
	disksOfAZone int
	tolerance    int // machines that may fail at the same time
}

// controlsOfAZone reads from the deploy file how many machines of a zone run the control role.
func controlsOfAZone(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(deployFile)
	must.NoError(t, err)
	found := regexp.MustCompile(`(?s)\[roles\.control\].*?\ncount = (\d+)\n`).FindSubmatch(text)
	must.SliceLen(t, 2, found)
	count, err := strconv.Atoi(string(found[1]))
	must.NoError(t, err)
	return count
}

// TestDeployedControlToleratesALostDiskAndACut starts as many control processes as the deploy file does. The leader loses its disk right after it
// has confirmed a change; then another voter is cut off permanently. Since two machines may fail at the same time, changes must still be confirmed.
func TestDeployedControlToleratesALostDiskAndACut(t *testing.T) {
	count := controlsOfAZone(t)
	for _, machines := range []layout{
		{zones: 4, disksOfAZone: 2, tolerance: 2},
		{zones: 5, disksOfAZone: 1, tolerance: 2},
		{zones: 3, disksOfAZone: 2, tolerance: 2},
	} {
		for victim := range 2*machines.tolerance + 1 {
			t.Run(fmt.Sprintf("%d zones of %d/victim %d", machines.zones, machines.disksOfAZone, victim), func(t *testing.T) {
				t.Parallel()
				directory := t.TempDir()
				var took time.Duration
				var trace []string
				synctest.Test(t, func(t *testing.T) { took, trace = playLostDiskAndCut(t, directory, machines, count, victim) })
				must.LessEq(t, confirmedWithin, took, must.Sprint("no change was confirmed in time\n", strings.Join(trace, "\n")))
			})
		}
	}
}

// playLostDiskAndCut returns how long the first change after the cut took, and the trace with the status of each process at that time.
func playLostDiskAndCut(t *testing.T, directory string, machines layout, count, victim int) (time.Duration, []string) {
	network := newSimNetwork(t, uint64(victim), directory)
	network.tolerance = machines.tolerance
	network.addLayout(machines, count)
	for _, server := range network.allServers() {
		server.start(true)
	}
	time.Sleep(startupTime)
	operator := &simOperator{network: network, history: &simHistory{}}
	operator.tryChange(oneRoute)
	first := network.leader()
	other := network.voterBeside(first, victim)
	first.kill(true)
	first.newDisk()
	time.Sleep(lostDiskRestart)
	first.start(false)
	time.Sleep(cutAfterLoss - lostDiskRestart)
	network.cut([]*simServer{other}, network.allServers(), true)
	cutAt := time.Now()
	operator.tryChange(oneRoute)
	took := time.Since(cutAt)
	trace := network.describe()
	network.end()
	return took, trace
}

// addLayout adds the control processes on machines with a disk. In the first three zones, one of them is a seed.
func (n *simNetwork) addLayout(machines layout, count int) {
	for zone := range machines.zones {
		for number := range min(count, machines.disksOfAZone) {
			server := n.addServer()
			server.zone = fmt.Sprintf("zone-%d", zone)
			if number == 0 && len(n.seeds) < minVoters {
				n.seeds = append(n.seeds, server.address)
			}
		}
	}
}

// voterBeside returns a voter other than the leader, by its position modulo their number.
func (n *simNetwork) voterBeside(leader *simServer, position int) *simServer {
	var others []*simServer
	for _, voter := range leader.running().server.node.Status().Members {
		if voter.Address != leader.address {
			others = append(others, n.serverAt(voter.Address))
		}
	}
	return others[position%len(others)]
}
