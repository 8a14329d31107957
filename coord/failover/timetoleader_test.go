package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	timingSeeds      = 500
	warmUp           = 3 * time.Second
	leaderTimeout    = 10 * time.Second
	timingStep       = time.Millisecond
	maxPowerOnSkew   = 300 * time.Millisecond // between the starts of the first and the last process
	minRestartDelay  = 10 * time.Millisecond  // after a kill
	maxRestartDelay  = 200 * time.Millisecond
	minProposalPause = 20 * time.Millisecond
	maxProposalPause = 120 * time.Millisecond
)

// leaderTimes holds the time that a group of three was without a leader, for each seed.
type leaderTimes []time.Duration

func (times leaderTimes) at(share float64) time.Duration {
	return times[int(share*float64(len(times)-1))].Round(timingStep)
}

// measureLeaderTimes interrupts a settled group and measures the time until it has a leader again. interrupt returns the
// time at which the interruption began.
func measureLeaderTimes(t *testing.T, name string, interrupt func(*simulator) time.Duration) leaderTimes {
	var times leaderTimes
	for seed := range uint64(timingSeeds) {
		sim := newSimulator(seed, 3, mutation{})
		sim.repeat(minProposalPause, maxProposalPause, sim.proposeRandomly)
		sim.run(warmUp)
		sim.awaitLeader(t)
		begin := interrupt(sim)
		sim.awaitLeader(t)
		times = append(times, sim.now-begin)
	}
	slices.Sort(times)
	t.Logf("%s: median %v, p90 %v, max %v", name, times.at(0.5), times.at(0.9), times.at(1))
	return times
}

// awaitLeader runs until a member serves as the leader, that is, has committed the inherited version in its epoch.
func (simulator *simulator) awaitLeader(t *testing.T) {
	limit := simulator.now + leaderTimeout
	for simulator.leader() == nil {
		must.Less(t, limit, simulator.now)
		simulator.run(simulator.now + timingStep)
		must.EqOp(t, "", simulator.checker.violation)
	}
}

// powerOnAll stops every process and restarts each within maxPowerOnSkew.
func powerOnAll(sim *simulator) time.Duration {
	for _, process := range sim.processes {
		process.stop()
		sim.schedule(sim.duration(0, maxPowerOnSkew), func() { process.start(false) })
	}
	return sim.now
}

// powerOnAllButLeader does the same, but the machine of the former leader stays off.
func powerOnAllButLeader(sim *simulator) time.Duration {
	leader := sim.leader()
	for _, process := range sim.processes {
		process.stop()
		if process != leader {
			sim.schedule(sim.duration(0, maxPowerOnSkew), func() { process.start(false) })
		}
	}
	return sim.now
}

// killLeader kills the leader's process, which restarts within maxRestartDelay.
func killLeader(sim *simulator) time.Duration {
	leader := sim.leader()
	leader.stop()
	sim.schedule(sim.duration(minRestartDelay, maxRestartDelay), func() { leader.start(false) })
	return sim.now
}

// loseLeader stops the leader's process permanently.
func loseLeader(sim *simulator) time.Duration {
	sim.leader().stop()
	return sim.now
}

func TestTimeToLeader(t *testing.T) {
	must.Less(t, defaultLease/2, measureLeaderTimes(t, "power-on of all", powerOnAll).at(0.9))
	must.Less(t, defaultLease/2, measureLeaderTimes(t, "kill and restart of the leader", killLeader).at(0.9))
	measureLeaderTimes(t, "power-on of all but the former leader", powerOnAllButLeader)
	measureLeaderTimes(t, "loss of the leader", loseLeader)
}
