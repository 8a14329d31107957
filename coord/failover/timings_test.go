package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	timingSeeds    = 500
	settledTime    = 3 * time.Second
	timingLimit    = 10 * time.Second
	timingStep     = time.Millisecond
	powerOnSpread  = 300 * time.Millisecond // between the first and the last process that starts
	restartFrom    = 10 * time.Millisecond  // after a kill
	restartAtLast  = 200 * time.Millisecond
	proposalsFrom  = 20 * time.Millisecond
	proposalsBelow = 120 * time.Millisecond
)

// leaderTimes are the times that a group of three was without a leader, one for each seed.
type leaderTimes []time.Duration

func (times leaderTimes) at(share float64) time.Duration {
	return times[int(share*float64(len(times)-1))].Round(timingStep)
}

// measureLeaderTimes interrupts a settled group; interrupt returns when the time without a leader began.
func measureLeaderTimes(t *testing.T, name string, interrupt func(*world) time.Duration) leaderTimes {
	var times leaderTimes
	for seed := range uint64(timingSeeds) {
		simulated := newWorld(seed, 3, mutation{})
		simulated.repeat(proposalsFrom, proposalsBelow, simulated.proposeSomewhere)
		simulated.run(settledTime)
		simulated.awaitLeader(t)
		begin := interrupt(simulated)
		simulated.awaitLeader(t)
		times = append(times, simulated.now-begin)
	}
	slices.Sort(times)
	t.Logf("%s: median %v, nine of ten within %v, worst %v", name, times.at(0.5), times.at(0.9), times.at(1))
	return times
}

// awaitLeader lets time pass until a member serves, having committed the inherited version under its epoch.
func (world *world) awaitLeader(t *testing.T) {
	limit := world.now + timingLimit
	for world.leading() == nil {
		must.Less(t, limit, world.now)
		world.run(world.now + timingStep)
		must.EqOp(t, "", world.checker.violation)
	}
}

// powerOnAll stops every process and starts each again within powerOnSpread.
func powerOnAll(simulated *world) time.Duration {
	for _, process := range simulated.processes {
		process.stop()
		simulated.after(simulated.duration(0, powerOnSpread), func() { process.start(false) })
	}
	return simulated.now
}

// powerOnAllButLeader leaves the machine of the former leader without power.
func powerOnAllButLeader(simulated *world) time.Duration {
	leader := simulated.leading()
	for _, process := range simulated.processes {
		process.stop()
		if process != leader {
			simulated.after(simulated.duration(0, powerOnSpread), func() { process.start(false) })
		}
	}
	return simulated.now
}

// killLeader ends the process of the leader, which comes back soon.
func killLeader(simulated *world) time.Duration {
	leader := simulated.leading()
	leader.stop()
	simulated.after(simulated.duration(restartFrom, restartAtLast), func() { leader.start(false) })
	return simulated.now
}

// loseLeader ends the process of the leader for good.
func loseLeader(simulated *world) time.Duration {
	simulated.leading().stop()
	return simulated.now
}

func TestTimeToLeader(t *testing.T) {
	must.Less(t, defaultLease/2, measureLeaderTimes(t, "power-on of all", powerOnAll).at(0.9))
	must.Less(t, defaultLease/2, measureLeaderTimes(t, "kill and restart of the leader", killLeader).at(0.9))
	measureLeaderTimes(t, "power-on of all but the former leader", powerOnAllButLeader)
	measureLeaderTimes(t, "loss of the leader", loseLeader)
}
