package main

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/platformapi"
)

func TestCountersAreReadFromProc(t *testing.T) {
	taken := reading{}
	line := "12 (a name) with) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 5 0 100 4096 25 18446744073709551615"
	must.NoError(t, taken.parseStat(line))
	must.Eq(t, 2000, taken.cpuMs)
	must.Positive(t, taken.residentBytes)
	must.Error(t, taken.parseStat("12 (short) S 1"))
	taken.parseIO("rchar: 10\nwchar: 20\nsyscr: 3\nsyscw: 4\nread_bytes: 99\n")
	must.Eq(t, []int64{10, 20, 3, 4}, []int64{taken.readBytes, taken.writeBytes, taken.readCalls, taken.writeCalls})
}

func TestUsageIsTheMeanOfTheMembersOfARole(t *testing.T) {
	host := &process{role: roleHollow, members: 10}
	before := snapshot{host: {at: 0}}
	after := snapshot{host: {at: moment(2 * time.Second), cpuMs: 400, readBytes: 2000, residentBytes: 10 * megabyte}}
	used := after.usageSince(before, 0)[roleHollow]
	must.Eq(t, 10, used.Count)
	must.Eq(t, 2, used.CorePercent) // 400 ms in 2 s are 20 % for ten
	must.Eq(t, 100, used.ReadBytesS)
	must.Eq(t, 1, used.MemoryMb)
}

func TestQuantiles(t *testing.T) {
	var sorted []float64
	for value := range 100 {
		sorted = append(sorted, float64(value+1))
	}
	must.Eq(t, 50, quantile(sorted, 0.5))
	must.Eq(t, 99, quantile(sorted, 0.99))
	must.Eq(t, 100, quantile(sorted, 1))
	must.Eq(t, 0, quantile(nil, 0.5))
}

func TestSubscribersThatWereNotReachedAreMissing(t *testing.T) {
	sent := map[uint64]moment{1: 0, 2: 1000}
	arrived := map[uint64][]moment{1: {2_000_000, 4_000_000}, 2: {3_001_000}}
	told := spreadOf(sent, arrived, 2)
	must.Eq(t, 1, told.Missing)
	must.Eq(t, 3, told.Arrivals)
	must.Eq(t, 4, told.WorstMs)
}

func TestListIsServedWholeInPages(t *testing.T) {
	const destinations = 3000
	list, err := startPlatform(destinations)
	must.NoError(t, err)
	defer list.close()
	seen, down, pages := map[string]bool{}, 0, 0
	for token := ""; ; pages++ {
		response, err := http.Get("http://" + list.address() + "/instances?pageToken=" + token)
		must.NoError(t, err)
		answer := platformapi.Page{}
		must.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
		must.NoError(t, response.Body.Close())
		for _, entry := range answer.Instances {
			seen[entry.ID] = true
			if entry.State != platformapi.StateReady {
				down++
			}
		}
		if answer.NextToken == nil {
			break
		}
		token = *answer.NextToken
	}
	must.MapLen(t, destinations, seen)
	must.Eq(t, destinations*downPerMille/1000, down)
	before := list.state(0)
	list.change()
	must.NotEq(t, before, list.state(0))
}

func TestConfigurationsOfARunAreValidAndDiffer(t *testing.T) {
	sender := newOperator(nil, 10)
	first, err := sender.configuration(1)
	must.NoError(t, err)
	second, err := sender.configuration(2)
	must.NoError(t, err)
	parsed, err := catalog.Parse(first)
	must.NoError(t, err)
	must.Len(t, 10, parsed.Routes)
	_, err = catalog.Parse(second)
	must.NoError(t, err)
	must.NotEq(t, string(first), string(second))
}

func TestNoControlProcessIsTold(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, _, err := newOperator([]string{"127.0.0.1:1"}, 1).change(ctx)
	must.Error(t, err)
}

func TestBacklogIsReadBackAndDrained(t *testing.T) {
	measured, err := measureBacklog(2000)
	must.NoError(t, err)
	must.Positive(t, measured.DiskPerMessage)
	must.Greater(t, backlogBodyBytes, measured.DiskPerMessage)
	must.Positive(t, measured.HeapPerMessage)
}

func TestRecordsAndTheirPlotsAreWritten(t *testing.T) {
	folder := t.TempDir()
	points := []point{}
	for _, count := range []int{100, 200, 400} {
		used := map[string]usage{roleLeader: {CorePercent: float64(count)}, roleHollow: {ReadBytesS: 100}}
		points = append(points, point{Dispatchers: count, Following: count, ChangesPerS: 1, Steady: used, Changing: used, ConfigInForce: newSpread(1, 0, []float64{1, 2})})
	}
	must.NoError(t, (&record{Part: "dispatchers", Points: points}).save(folder))
	must.NoError(t, plotAll(folder))
	must.FileExists(t, folder+"/tables.md")
	must.FileExists(t, folder+"/leader-core.svg")
	xs, ys := seriesOf(points, whole, dispatchersOf, func(p point) float64 { return p.Steady[roleLeader].CorePercent })
	must.Eq(t, 1800, round(fit(xs, ys).at(planDispatchers)))
}

func TestVersionThatWasSkippedIsInForceWithTheNextOne(t *testing.T) {
	noted := map[uint64][]moment{}
	last := uint64(0)
	for _, version := range []uint64{4, 4, 7, 2} { // a new leader counts its lists from the start
		noteVersion(noted, &last, version, 9)
	}
	must.Eq(t, map[uint64][]moment{4: {9}, 5: {9}, 6: {9}, 7: {9}, 2: {9}}, noted)
}
