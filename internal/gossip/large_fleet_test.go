package gossip

import (
	"flag"
	"fmt"
	"image/color"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var (
	large = flag.Int("large", 40, "members of TestManyMembers")
	chart = flag.String("chart", "", "file for TestSettlingBySize's chart; without it the test is skipped")
)

// Bounds of TestManyMembersInMemory, up to 300 members.
const (
	maxStartTime = 8 * time.Second // from the last start until all views are equal
	maxCrashTime = 6 * time.Second // until all members have detected a crash
)

// fleetCost contains the convergence times of a fleet and the load of a member after convergence.
type fleetCost struct {
	members         int
	start, crash    float64 // seconds until all views are equal after the last start, and after a crash
	messages, bytes float64 // datagrams and bytes sent per second and member
	cpu             float64 // milliseconds per second and member
	heap            float64 // bytes per member
}

// runLargeFleet starts n members in this process, over real sockets or, if given, a network in memory. It waits until all views are equal and
// no updates are queued, measures the load, and stops one member without notice.
func runLargeFleet(t *testing.T, n int, network *memoryNetwork) fleetCost {
	cfg := testConfig("m0")
	cfg.Probe = 500 * time.Millisecond
	cost := fleetCost{members: n}
	empty := heapBytes()
	add := func() *testNode {
		if network != nil {
			return startMemberOn(t, cfg, network.sockets())
		}
		return startMember(t, cfg, nil, 0, nil)
	}
	first := add()
	all := []*testNode{first}
	for i := 1; i < n; i++ {
		cfg.Name, cfg.Seeds = fmt.Sprint("m", i), []string{first.at()}
		all = append(all, add())
	}
	one := func() bool {
		digest := first.Picture().Digest
		for _, b := range all {
			if p := b.Picture(); p.Digest != digest || p.Reached != len(all) {
				return false
			}
		}
		return true
	}
	const most = 2 * time.Minute // other load on the machine slows this down; TestManyMembersInMemory checks the convergence times
	begun := time.Now()
	waitWithin(t, most, "all views are equal", one)
	cost.start = time.Since(begun).Seconds()
	waitWithin(t, most, "no updates are queued", func() bool {
		return !slices.ContainsFunc(all, func(b *testNode) bool { return b.queue.NumQueued() > 0 })
	})
	cost.heap = (heapBytes() - empty) / float64(n)
	before, cpu, at := all[1].Counts(), cpuTimeMs(), time.Now()
	waitUntil(t, "members go on probing", func() bool { return all[1].Counts().Sent > before.Sent+20 })
	now, took := all[1].Counts(), time.Since(at).Seconds()
	cost.messages, cost.bytes = float64(now.Sent-before.Sent)/took, float64(now.SentBytes-before.SentBytes)/took
	cost.cpu = (cpuTimeMs() - cpu) / took / float64(n)
	last := all[n-1]
	begun = time.Now()
	last.end()
	<-last.done
	all = all[:n-1]
	waitWithin(t, most, "all members have detected the crash", func() bool {
		return !slices.ContainsFunc(all, func(b *testNode) bool { return b.Picture().Acting != len(all) }) && one()
	})
	cost.crash = time.Since(begun).Seconds()
	t.Logf("%d members: views equal %.1f s after the last start, crash detected by all after %.1f s; per member %.1f datagrams/s, %.0f bytes/s, %.2f ms/s of processor time, %.0f KB of heap",
		n, cost.start, cost.crash, cost.messages, cost.bytes, cost.cpu, cost.heap/1024)
	return cost
}

// heapBytes returns the heap and stack memory in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTimeMs returns the processor time of this process.
func cpuTimeMs() float64 {
	var u unix.Rusage
	unix.Getrusage(unix.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}

// TestManyMembers checks that a large fleet that starts at once converges over real sockets despite lost datagrams, and that all members
// detect a crash.
func TestManyMembers(t *testing.T) { runLargeFleet(t, *large, nil) }

// TestManyMembersInMemory checks the convergence times over a network in memory and in virtual time, which the load of the machine doesn't
// influence.
func TestManyMembersInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lastProbes = time.Minute
		t.Cleanup(func() { time.Sleep(lastProbes) }) // memberlist waits for the acks of its last probes after Shutdown
		cost := runLargeFleet(t, *large, newMemoryNetwork())
		if cost.start > maxStartTime.Seconds() || cost.crash > maxCrashTime.Seconds() {
			t.Errorf("views equal after %.1f s, want %s at most; crash detected by all after %.1f s, want %s at most", cost.start, maxStartTime, cost.crash, maxCrashTime)
		}
	})
}

// TestSettlingBySize plots the convergence times of fleets of several sizes.
func TestSettlingBySize(t *testing.T) {
	if *chart == "" {
		t.Skip("no -chart")
	}
	var starts, crashes plotter.XYs
	for _, n := range []int{5, 20, 80, 160, 300} {
		for i := range 2 {
			t.Run(fmt.Sprintf("%d members, run %d", n, i+1), func(t *testing.T) {
				c := runLargeFleet(t, n, nil)
				starts, crashes = append(starts, plotter.XY{X: float64(n), Y: c.start}), append(crashes, plotter.XY{X: float64(n), Y: c.crash})
			})
		}
	}
	p := plot.New()
	p.Title.Text = "Convergence time by fleet size"
	p.X.Label.Text, p.Y.Label.Text, p.X.Scale, p.X.Tick.Marker = "members, in one process", "seconds", plot.LogScale{}, plot.LogTicks{}
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	for _, x := range []struct {
		name   string
		points plotter.XYs
		color  color.RGBA
	}{{"after all start at once", starts, color.RGBA{30, 80, 160, 255}}, {"after a crash", crashes, color.RGBA{200, 60, 40, 255}}} {
		dots, err := plotter.NewScatter(x.points)
		if err != nil {
			t.Fatal(err)
		}
		dots.Radius, dots.Color = vg.Points(3), x.color
		p.Add(dots)
		p.Legend.Add(x.name, dots)
	}
	p.Add(plotter.NewGrid())
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, *chart); err != nil {
		t.Fatal(err)
	}
}
