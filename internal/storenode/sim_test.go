package storenode

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	simSeedEnv         = "STORENODE_SEED"  // runs this seed only
	simSeedCountEnv    = "STORENODE_SEEDS" // number of seeds to run
	simSeedCount       = 24
	simShortSeedCount  = 4
	simSendInterval    = 25 * time.Millisecond
	simFinishTimeout   = 60 * time.Second // for all accepted messages to end after the last fault
	simDrainTime       = time.Minute      // for all goroutines to end
	simPropagationTime = 20 * time.Second // for all holders to receive the final states
)

// TestSimulation runs stores under faults drawn from a seed and checks the delivery guarantees (see checker).
func TestSimulation(t *testing.T) {
	for _, seed := range seedsToRun(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			size := scale{stores: 4, tolerance: 1, partitions: 16, traffic: 25 * time.Second, diskMb: 64}
			if seed%4 == 3 {
				size.stores, size.tolerance = 5, 2
			}
			if seed%5 == 4 {
				size.diskMb = 1 // small enough that logs are rewritten
			}
			synctest.Test(t, func(t *testing.T) { simulate(t, seed, directory, size) })
		})
	}
}

func seedsToRun(t *testing.T) []uint64 {
	if value := os.Getenv(simSeedEnv); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	count := simSeedCount
	if raceEnabled || testing.Short() {
		count = simShortSeedCount
	}
	if value, err := strconv.Atoi(os.Getenv(simSeedCountEnv)); err == nil {
		count = value
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

func simulate(t *testing.T, seed uint64, directory string, size scale) {
	w := newWorld(t, seed, directory, size)
	time.Sleep(3 * time.Second)
	w.runTraffic()
	w.restartAll()
	w.awaitCompletion()
	w.shutdown()
	w.report()
}

// shutdown stops everything and waits until all goroutines have ended: the time of the bubble stops once its first goroutine has ended.
func (w *world) shutdown() {
	w.cancel()
	for _, m := range w.machines {
		m.stop(shutdown{})
	}
	time.Sleep(simDrainTime)
}

// runTraffic sends the messages and injects the faults.
func (w *world) runTraffic() {
	faults := newFaultInjector(w)
	stop := time.Now().Add(w.scale.traffic)
	dropAt := time.Now().Add(time.Duration(w.random.Int64N(int64(w.scale.traffic))))
	for number := 0; time.Now().Before(stop); number++ {
		w.send(number)
		faults.step()
		if w.checker.routeDroppedAt.IsZero() && time.Now().After(dropAt) {
			w.dropRoute()
		}
		time.Sleep(simSendInterval/2 + time.Duration(w.random.Int64N(int64(simSendInterval))))
	}
	faults.endAll()
}

func (w *world) dropRoute() {
	w.checker.mutex.Lock()
	w.checker.routeDroppedAt = time.Now()
	w.checker.mutex.Unlock()
	w.control.dropRoute()
	w.tracef("route dropped")
}

// restartAll starts the stores that are not running.
func (w *world) restartAll() {
	for _, m := range w.machines {
		if m.running() == nil {
			m.start()
		}
	}
	w.tracef("all faults are over")
}

// awaitCompletion waits until no request is open, every accepted message has ended, and all stores know that.
func (w *world) awaitCompletion() {
	w.requests.Wait()
	deadline := time.Now().Add(simFinishTimeout)
	for w.countUnfinished() > 0 && time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
	}
	w.tracef("unfinished: %d", w.countUnfinished())
	w.checkMessages()
	time.Sleep(simPropagationTime)
	w.checkTables()
}

func (w *world) countUnfinished() int {
	c := w.checker
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, m := range c.messages {
		if !m.acceptedAt.IsZero() && !c.hasEnded(m) {
			count++
		}
	}
	return count
}

// checkMessages looks up every message and checks the answers.
func (w *world) checkMessages() {
	c := w.checker
	for _, m := range c.messages {
		reply := w.lookup(m, false)
		c.checkState(m, reply)
		if m.acceptedAt.IsZero() {
			continue
		}
		c.mutex.Lock()
		ended := c.hasEnded(m)
		c.mutex.Unlock()
		if reply.State == rpc.State_QUEUED {
			reply = w.lookup(m, true)
			c.checkState(m, reply)
		}
		c.mutex.Lock()
		if !ended {
			c.violate("STRANDED", m, "it has not ended; %d runs, %s", m.runs, w.describe(m))
		}
		if !reply.Found {
			c.violate("LOST", m, "no store knows it, ended: %t", ended)
		} else if reply.State == rpc.State_QUEUED && !reply.HasBody && !ended {
			c.violate("LOST", m, "its body is gone")
		}
		c.mutex.Unlock()
	}
}

// describe returns what each store knows of a message.
func (w *world) describe(m *sentMessage) string {
	var parts []string
	for _, each := range w.machines {
		p := each.process
		if p == nil {
			parts = append(parts, each.name+" is gone")
			continue
		}
		p.node.do(func() {
			e := p.node.table.Get(m.name)
			if e == nil {
				parts = append(parts, each.name+" -")
				return
			}
			parts = append(parts, fmt.Sprintf("%s %s stored=%t seq=%d.%d attempts=%d running=%t owned=%d ready=%t fence=%d due=%s",
				each.name, e.State, e.Stored, e.Epoch, e.Seq, e.Attempts, e.Running, p.node.table.OwnedEpoch(m.partition),
				p.node.table.IsReady(m.partition), p.node.table.Fence(m.partition), e.Due-p.node.now()))
		})
	}
	return strings.Join(parts, "; ")
}

// checkTables checks that no store still holds a message as queued.
func (w *world) checkTables() {
	for _, each := range w.machines {
		if each.process == nil {
			continue // removed for good
		}
		var names []string
		each.process.node.do(func() {
			each.process.node.table.Each(func(e *messageEntry) {
				if !e.Ended() && len(names) < 3 {
					names = append(names, e.Name)
				}
			})
		})
		for _, name := range names {
			w.checker.mutex.Lock()
			m := w.checker.messages[name]
			w.checker.violate("FORGOTTEN", m, "%s holds it as queued after %d runs, ended %t: %s", each.name, m.runs,
				w.checker.hasEnded(m), w.describe(m))
			w.checker.mutex.Unlock()
		}
	}
}

// report fails the test if a guarantee was violated.
func (w *world) report() {
	c := w.checker
	accepted, refused, runs := 0, 0, 0
	for _, m := range c.messages {
		if !m.acceptedAt.IsZero() {
			accepted++
		}
		if m.refused {
			refused++
		}
		runs += m.runs
	}
	w.t.Logf("seed %d: %d messages, %d accepted, %d refused, %d runs, emptied and taken away: %t, %d violations", w.seed,
		len(c.messages), accepted, refused, runs, w.control.hasRetired(), len(c.violations))
	if len(c.violations) == 0 {
		if accepted < len(c.messages)/3 {
			w.t.Errorf("seed %d: only %d of %d messages were accepted\n%s", w.seed, accepted, len(c.messages), strings.Join(w.trace, "\n"))
		}
		return
	}
	w.t.Errorf("seed %d:\n%s\n%s", w.seed, strings.Join(c.violations[:min(12, len(c.violations))], "\n"), strings.Join(w.trace, "\n"))
}
