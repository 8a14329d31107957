package storenode

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	budgetMessages   = 100_000
	budgetPartitions = 16
)

// budgetRecord returns the record of a queued message.
func budgetRecord(b *testing.B, number int, body []byte) []byte {
	b.Helper()
	record, err := encodeRecord(recordMessage, time.Now(), &rpc.Message{
		Name: fmt.Sprintf("%02x-%016x", number%budgetPartitions, number), Partition: uint32(number % budgetPartitions),
		Route: fmt.Sprintf("r-%07d", number%20), Method: "POST", Path: fmt.Sprintf("/vobo680/%06x", number),
		Host: "lode17.example", RequestId: fmt.Sprintf("%016x", number), ContentType: "application/json",
		Epoch: 1, Seq: uint64(number/budgetPartitions + 1), Body: body,
	})
	must.NoError(b, err)
	return record
}

// BenchmarkQueuedMessageOnDisk writes queued messages to a store's log and replays them as at a start.
func BenchmarkQueuedMessageOnDisk(b *testing.B) {
	for _, bodyBytes := range []int{0, 600, 2400} {
		b.Run(fmt.Sprintf("body=%d", bodyBytes), func(b *testing.B) {
			for b.Loop() {
				benchLog(b, make([]byte, bodyBytes))
			}
		})
	}
}

func benchLog(b *testing.B, body []byte) {
	directory := b.TempDir()
	log, err := applog.Open(directory, logFileName, applog.Options{}, func(applog.Position, []byte) error { return nil })
	must.NoError(b, err)
	for number := range budgetMessages {
		_, err := log.Append(budgetRecord(b, number, body))
		must.NoError(b, err)
	}
	must.NoError(b, log.Wait())
	b.ReportMetric(float64(log.Size())/budgetMessages, "disk-B/message")
	must.NoError(b, log.Close())
	before := budgetHeap()
	started := time.Now()
	restarted := &Node{table: message.NewTable(), started: started}
	reopened, err := applog.Open(directory, logFileName, applog.Options{}, restarted.replay)
	must.NoError(b, err)
	b.ReportMetric(float64(time.Since(started).Nanoseconds())/budgetMessages, "replay-ns/message")
	must.Eq(b, budgetMessages, restarted.table.Queued())
	b.ReportMetric(float64(budgetHeap()-before)/budgetMessages, "heap-B/message")
	restarted.file = reopened
	b.ReportMetric(readBackCost(b, restarted), "read-ns/message")
	must.NoError(b, reopened.Close())
	runtime.KeepAlive(restarted)
}

// readBackCost measures readCopy, in nanoseconds per message.
func readBackCost(b *testing.B, node *Node) float64 {
	const maxRecords = 20 * maxReadBackBatch
	var batch []recordRef
	node.table.Each(func(e *message.Entry) {
		if len(batch) < maxRecords {
			batch = append(batch, recordRef{entry: e, record: e.Record})
		}
	})
	started := time.Now()
	for _, ref := range batch {
		_, err := node.readCopy(ref)
		must.NoError(b, err)
	}
	return float64(time.Since(started).Nanoseconds()) / float64(len(batch))
}

// BenchmarkGatherList lists all messages of a store for a new owner of its partitions.
func BenchmarkGatherList(b *testing.B) {
	node := &Node{table: message.NewTable(), started: time.Now()}
	for number := range budgetMessages {
		must.NoError(b, node.replay(applog.Position{}, budgetRecord(b, number, nil)))
	}
	var asked []*rpc.PartitionEpoch
	for id := range uint32(budgetPartitions) {
		asked = append(asked, &rpc.PartitionEpoch{Partition: id, Epoch: 2})
	}
	for b.Loop() {
		must.Len(b, budgetMessages, node.listMessages(asked))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/budgetMessages, "ns/message")
}

// budgetHeap returns the heap size after a garbage collection, in bytes.
func budgetHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
