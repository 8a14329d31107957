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
	budgetMessages   = 100_000
	budgetPartitions = 16
)

// budgetEntry is a message that waits in the table, its body on the disk alone.
func budgetEntry(number int, key string, due time.Duration) *Entry {
	return &Entry{
		Name: fmt.Sprintf("%02x-%016x", number%budgetPartitions, number), Partition: uint32(number % budgetPartitions),
		Route: fmt.Sprintf("r-%07d", number%20), Method: string([]byte("POST")), Path: fmt.Sprintf("/vobo680/%06x", number),
		Host: string([]byte("lode17.example")), RequestID: fmt.Sprintf("%016x", number), ContentType: string([]byte("application/json")),
		OrderKey: key, Epoch: 1, Seq: uint64(number/budgetPartitions + 1), Due: due, BodyBytes: 2400, Stored: true,
		Holders: []string{"0123456789abcdef"},
	}
}

// BenchmarkQueuedMessage is the memory of one queued message at its owner, and the time to enter it.
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
				before := budgetHeap()
				started := time.Now()
				table := budgetTable(test.keys, test.due)
				b.ReportMetric(float64(time.Since(started).Nanoseconds())/budgetMessages, "ns/message")
				b.ReportMetric(float64(budgetHeap()-before)/budgetMessages, "heap-B/message")
				must.Eq(b, budgetMessages, table.Queued())
			}
		})
	}
}

func budgetTable(keys int, due time.Duration) *Table {
	table := NewTable()
	for id := range uint32(budgetPartitions) {
		table.BeginOwnership(id, 1)
		table.MarkReady(id, 0)
	}
	for number := range budgetMessages {
		key := ""
		if keys > 0 {
			key = fmt.Sprintf("key-%d", number%keys)
		}
		table.Add(budgetEntry(number, key, due), 0)
	}
	return table
}

// BenchmarkEndedMessage is the memory of one message whose end is still known: it stays until its status may be forgotten.
func BenchmarkEndedMessage(b *testing.B) {
	for b.Loop() {
		before := budgetHeap()
		table := budgetTable(0, 0)
		table.Each(func(e *Entry) { table.MarkEnded(e, rpc.State_COMPLETED, "3e1b.07.5a2.600.0.c9f2a4d1", time.Second) })
		b.ReportMetric(float64(budgetHeap()-before)/budgetMessages, "heap-B/message")
		must.Eq(b, 0, table.Queued())
		runtime.KeepAlive(table)
	}
}

// budgetHeap is what the heap holds after a collection.
func budgetHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
