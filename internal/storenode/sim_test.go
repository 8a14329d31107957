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
	simSeedVariable = "STORENODE_SEED"  // runs this one seed
	simCountSeeds   = "STORENODE_SEEDS" // runs so many seeds
	simSeeds        = 24
	simSeedsShort   = 4
	simSendEvery    = 25 * time.Millisecond
	simFinish       = 60 * time.Second // within which all accepted messages end once the faults are over
	simDrain        = time.Minute      // within which all goroutines end
	simForgetSlack  = 20 * time.Second // within which all copies have learnt it
)

// TestSimulation drives stores through faults drawn from a seed, and checks the rules.
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
				size.diskMb = 1 // so that logs are rewritten
			}
			synctest.Test(t, func(t *testing.T) { simulate(t, seed, directory, size) })
		})
	}
}

func seedsToRun(t *testing.T) []uint64 {
	if value := os.Getenv(simSeedVariable); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	count := simSeeds
	if raceEnabled || testing.Short() {
		count = simSeedsShort
	}
	if value, err := strconv.Atoi(os.Getenv(simCountSeeds)); err == nil {
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
	w.traffic()
	w.healAll()
	w.finish()
	w.end()
	w.report()
}

// end stops everything and waits until all goroutines are gone: time stands still once the first one has ended.
func (w *world) end() {
	w.cancel()
	for _, m := range w.machines {
		m.stop(end{})
	}
	time.Sleep(simDrain)
}

// traffic sends the load and injects the faults.
func (w *world) traffic() {
	faults := newFaults(w)
	stop := time.Now().Add(w.scale.traffic)
	dropAt := time.Now().Add(time.Duration(w.random.Int64N(int64(w.scale.traffic))))
	for number := 0; time.Now().Before(stop); number++ {
		w.send(number)
		faults.step()
		if w.ledger.dropAt.IsZero() && time.Now().After(dropAt) {
			w.dropRoute()
		}
		time.Sleep(simSendEvery/2 + time.Duration(w.random.Int64N(int64(simSendEvery))))
	}
	faults.endAll()
}

func (w *world) dropRoute() {
	w.ledger.mutex.Lock()
	w.ledger.dropAt = time.Now()
	w.ledger.mutex.Unlock()
	w.control.dropRoute()
	w.note("route dropped")
}

// healAll starts what does not run.
func (w *world) healAll() {
	for _, m := range w.machines {
		if m.running() == nil {
			m.start()
		}
	}
	w.note("all faults are over")
}

// finish waits until no request is open, every accepted message has ended and all stores know it.
func (w *world) finish() {
	w.requests.Wait()
	deadline := time.Now().Add(simFinish)
	for w.unfinished() > 0 && time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
	}
	w.note("unfinished: %d", w.unfinished())
	w.checkMessages()
	time.Sleep(simForgetSlack)
	w.checkTables()
}

func (w *world) unfinished() int {
	l := w.ledger
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, m := range l.messages {
		if !m.acceptedAt.IsZero() && !l.hasEnded(m) {
			count++
		}
	}
	return count
}

// checkMessages looks up everything that was accepted.
func (w *world) checkMessages() {
	l := w.ledger
	for _, m := range l.messages {
		reply := w.lookup(m, false)
		l.checkState(m, reply)
		if m.acceptedAt.IsZero() {
			continue
		}
		l.mutex.Lock()
		ended := l.hasEnded(m)
		l.mutex.Unlock()
		if reply.State == rpc.State_QUEUED {
			reply = w.lookup(m, true)
			l.checkState(m, reply)
		}
		l.mutex.Lock()
		if !ended {
			l.violate("STRANDED", m, "it has not ended; %d starts, %s", m.starts, w.where(m))
		}
		if !reply.Found {
			l.violate("LOST", m, "no store knows it, ended: %t", ended)
		} else if reply.State == rpc.State_QUEUED && !reply.HasBody && !ended {
			l.violate("LOST", m, "its body is gone")
		}
		l.mutex.Unlock()
	}
}

// where tells what each store knows of a message.
func (w *world) where(m *sent) string {
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

// checkTables checks that no store still holds a message that it believes queued.
func (w *world) checkTables() {
	for _, each := range w.machines {
		if each.process == nil {
			continue // taken away
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
			w.ledger.mutex.Lock()
			m := w.ledger.messages[name]
			w.ledger.violate("FORGOTTEN", m, "%s holds it as queued after %d runs, ended %t: %s", each.name, m.starts,
				w.ledger.hasEnded(m), w.where(m))
			w.ledger.mutex.Unlock()
		}
	}
}

// report fails the test where a rule was broken.
func (w *world) report() {
	l := w.ledger
	accepted, refused, runs := 0, 0, 0
	for _, m := range l.messages {
		if !m.acceptedAt.IsZero() {
			accepted++
		}
		if m.refused {
			refused++
		}
		runs += m.starts
	}
	w.t.Logf("seed %d: %d messages, %d accepted, %d refused, %d runs, emptied and taken away: %t, %d violations", w.seed,
		len(l.messages), accepted, refused, runs, w.control.hasRetired(), len(l.violations))
	if len(l.violations) == 0 {
		if accepted < len(l.messages)/3 {
			w.t.Errorf("seed %d: only %d of %d messages were accepted\n%s", w.seed, accepted, len(l.messages), strings.Join(w.trace, "\n"))
		}
		return
	}
	w.t.Errorf("seed %d:\n%s\n%s", w.seed, strings.Join(l.violations[:min(12, len(l.violations))], "\n"), strings.Join(w.trace, "\n"))
}
