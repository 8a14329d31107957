package message

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	benchMessages   = 100_000
	benchPartitions = 16
)

// benchEntry returns a queued message whose body is only on disk.
func benchEntry(number int, key string, due time.Duration) *Entry {
	return &Entry{
		Name: fmt.Sprintf("%02x-%016x", number%benchPartitions, number), Partition: uint32(number % benchPartitions),
		Route: fmt.Sprintf("r-%07d", number%20), Method: string([]byte("POST")), Path: fmt.Sprintf("/vobo680/%06x", number),
		Host: string([]byte("lode17.example")), RequestID: fmt.Sprintf("%016x", number), ContentType: string([]byte("application/json")),
		OrderKey: key, Epoch: 1, Seq: uint64(number/benchPartitions + 1), Due: due, BodyBytes: 2400, Stored: true,
		Holders: []string{"0123456789abcdef"},
	}
}

// BenchmarkQueuedMessage measures the memory of one queued message at its owner, and the time to add it.
func BenchmarkQueuedMessage(b *testing.B) {
	cases := map[string]struct {
		keys int // number of order keys; 0 for none
		due  time.Duration
	}{
		"ready":   {},
		"delayed": {due: time.Hour},
		"ordered": {keys: 1000},
	}
	for name, test := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapAllocBytes()
				started := time.Now()
				table := benchTable(test.keys, test.due)
				b.ReportMetric(float64(time.Since(started).Nanoseconds())/benchMessages, "ns/message")
				b.ReportMetric(float64(heapAllocBytes()-before)/benchMessages, "heap-B/message")
				must.Eq(b, benchMessages, table.Queued())
			}
		})
	}
}

func benchTable(keys int, due time.Duration) *Table {
	table := NewTable()
	for id := range uint32(benchPartitions) {
		table.BeginOwnership(id, 1)
		table.MarkReady(id, 0)
	}
	for number := range benchMessages {
		key := ""
		if keys > 0 {
			key = fmt.Sprintf("key-%d", number%keys)
		}
		table.Add(benchEntry(number, key, due), 0)
	}
	return table
}

// BenchmarkEndedMessage measures the memory of one message that has ended, whose state is kept until clients no longer ask for
// it.
func BenchmarkEndedMessage(b *testing.B) {
	for b.Loop() {
		before := heapAllocBytes()
		table := benchTable(0, 0)
		table.Each(func(e *Entry) { table.MarkEnded(e, rpc.State_COMPLETED, "3e1b.07.5a2.600.0.c9f2a4d1", time.Second) })
		b.ReportMetric(float64(heapAllocBytes()-before)/benchMessages, "heap-B/message")
		must.Eq(b, 0, table.Queued())
		runtime.KeepAlive(table)
	}
}

// heapAllocBytes returns the size of the live heap after a garbage collection.
func heapAllocBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
