package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	backlogPartitions = 16 // that one of four stores owns
	backlogRoutes     = 20
	backlogBodyBytes  = 256
	recordHeaderBytes = 9 // that a store writes before each record: its kind and the time
	storeCollect      = 50
	scheduleAim       = 500 * time.Millisecond
	syncEvery         = 64 // messages that share a sync, as a loaded store's do
)

func backlogCommand() *cli.Command {
	return &cli.Command{
		Name:  "backlog",
		Usage: "measure one store's table and log of so many messages, and print the figures (used by run)",
		Flags: []cli.Flag{&cli.IntFlag{Name: "messages", Required: true}},
		Action: func(_ context.Context, command *cli.Command) error {
			measured, err := measureBacklog(command.Int("messages"))
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(measured)
		},
	}
}

// measureBacklogApart measures in a process of its own, so that memory of other parts of the run does not count.
func measureBacklogApart(ctx context.Context, messages int) (backlog, error) {
	self, err := os.Executable()
	if err != nil {
		return backlog{}, errors.Wrap(err, "find this program")
	}
	command := exec.CommandContext(ctx, self, "backlog", "--messages", fmt.Sprint(messages))
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return backlog{}, errors.Wrap(err, "measure a backlog")
	}
	measured := backlog{}
	return measured, errors.Wrap(json.Unmarshal(output, &measured), "read the figures of a backlog")
}

// backlogStore is the table and the log of a store, without its network and its delivery loop.
type backlogStore struct {
	table *message.Table
	log   *applog.Log
}

// measureBacklog fills the table and the log of a store with messages that wait, reads them back, and drains them.
func measureBacklog(messages int) (backlog, error) {
	oneProcessor()
	debug.SetGCPercent(storeCollect)
	folder, err := os.MkdirTemp("", "foldlb-backlog-")
	if err != nil {
		return backlog{}, errors.Wrap(err, "create a folder for the log")
	}
	defer os.RemoveAll(folder)
	measured := backlog{Messages: messages, BodyBytes: backlogBodyBytes}
	heapBefore, residentBefore := heapBytes(), residentBytes()
	if err := measured.fill(folder); err != nil {
		return measured, err
	}
	replayed, err := measured.replay(folder)
	if err != nil {
		return measured, err
	}
	count := float64(messages)
	measured.HeapPerMessage = round(float64(heapBytes()-heapBefore) / count)
	measured.ResidentPerMsg = round(float64(residentBytes()-residentBefore) / count)
	measured.list(replayed.table)
	measured.walk(replayed.table)
	measured.drain(replayed.table)
	return measured, errors.Wrap(replayed.log.Close(), "close the log")
}

// fill appends the messages to a new log.
func (b *backlog) fill(folder string) error {
	log, err := applog.Open(folder, "messages.log", applog.Options{}, func(applog.Position, []byte) error { return nil })
	if err != nil {
		return err
	}
	body := make([]byte, backlogBodyBytes)
	started := now()
	for number := range b.Messages {
		record := make([]byte, recordHeaderBytes, recordHeaderBytes+2*backlogBodyBytes)
		record, err = proto.MarshalOptions{}.MarshalAppend(record, backlogMessage(number, body))
		if err != nil {
			return errors.Wrap(err, "encode a message")
		}
		if _, err := log.Append(record); err != nil {
			return err
		}
		if number%syncEvery == syncEvery-1 {
			if err := log.Wait(); err != nil {
				return err
			}
		}
	}
	if err := log.Wait(); err != nil {
		return err
	}
	b.AppendUsPerMsg = b.perMessage(started)
	b.DiskPerMessage = round(float64(log.Size()) / float64(b.Messages))
	return log.Close()
}

// replay opens the log again and enters its messages in a table, as a store does when it starts.
func (b *backlog) replay(folder string) (*backlogStore, error) {
	restarted := &backlogStore{table: message.NewTable()}
	started := now()
	log, err := applog.Open(folder, "messages.log", applog.Options{}, restarted.enter)
	if err != nil {
		return nil, err
	}
	for partition := range uint32(backlogPartitions) {
		restarted.table.BeginOwnership(partition, 2)
		restarted.table.MarkReady(partition, time.Second)
	}
	b.ReplayUsPerMsg = b.perMessage(started)
	restarted.log = log
	return restarted, nil
}

// enter adds one record to the table, without its body.
func (s *backlogStore) enter(at applog.Position, data []byte) error {
	read := &rpc.Message{}
	if err := proto.Unmarshal(data[recordHeaderBytes:], read); err != nil {
		return errors.Wrap(err, "read a message")
	}
	entry := message.NewEntry(read, 0)
	entry.Body, entry.Stored, entry.Record = nil, true, at
	entry.AddHolder("0123456789abcdef")
	s.table.Add(entry, 0)
	return nil
}

// list encodes what a store answers to the next owner of its partitions.
func (b *backlog) list(table *message.Table) {
	reply := &rpc.GatherReply{}
	started := now()
	for partition := range uint32(backlogPartitions) {
		table.Partition(partition, func(entry *message.Entry) { reply.Messages = append(reply.Messages, entry.Message(time.Second)) })
	}
	encoded, _ := proto.Marshal(reply) // a message without required fields can always be encoded
	b.ListUsPerMsg = b.perMessage(started)
	b.ListBytesPerMsg = round(float64(len(encoded)) / float64(b.Messages))
}

// walk visits every message once.
func (b *backlog) walk(table *message.Table) {
	started := now()
	visited := 0
	table.Each(func(entry *message.Entry) {
		if !entry.Ended() && entry.CountCopies(nil, "") > 1 {
			visited++
		}
	})
	b.WalkUsPerMsg = b.perMessage(started)
}

// drain starts and finishes every message.
func (b *backlog) drain(table *message.Table) {
	started := now()
	for number := range backlogRoutes {
		for {
			entry := table.StartNext(routeOf(number), scheduleAim, time.Second)
			if entry == nil {
				break
			}
			table.FinishAttempt(entry, rpc.State_COMPLETED, "stamp", time.Second)
		}
	}
	b.DrainUsPerMsg = b.perMessage(started)
	if table.Queued() > 0 {
		panic(errors.Errorf("%d messages were not drained: report this as a defect", table.Queued()))
	}
}

// perMessage is the time since a moment in microseconds for each message.
func (b *backlog) perMessage(started moment) float64 {
	return round(float64(now().since(started).Microseconds()) / float64(b.Messages))
}

// backlogMessage is one message that waits, with names as long as those of the protocol's examples.
func backlogMessage(number int, body []byte) *rpc.Message {
	return &rpc.Message{
		Name: fmt.Sprintf("%02x-%016x", number%backlogPartitions, number), Partition: uint32(number % backlogPartitions),
		Route: routeOf(number % backlogRoutes), Method: "POST", Path: fmt.Sprintf("/vobo680/%06x", number),
		Host: "lode17.example", RequestId: fmt.Sprintf("%016x", number), ContentType: "application/json",
		Body: body, Epoch: 1, Seq: uint64(number/backlogPartitions + 1),
	}
}

func routeOf(number int) string { return fmt.Sprintf("r-%07d", number) }

// heapBytes is what the heap holds after a collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// residentBytes is the resident memory of this process.
func residentBytes() int64 {
	stat, err := os.ReadFile("/proc/self/stat")
	if err != nil {
		return 0
	}
	var taken reading
	if taken.parseStat(string(stat)) != nil {
		return 0
	}
	return taken.residentBytes
}
