package storenode

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// simulated runs a scenario in a world without faults of its own, and ends it.
func simulated(t *testing.T, size scale, scenario func(*testing.T, *world)) {
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, directory, size)
		defer w.end()
		time.Sleep(3 * time.Second)
		scenario(t, w)
	})
}

var smallScale = scale{stores: 4, tolerance: 1, partitions: 1, diskMb: 64}

// owner returns the machine that owns a partition.
func (w *world) owner(partition uint32) (*machine, uint64) {
	view, _ := w.control.current()
	member, epoch, ok := view.Owner(partition)
	if !ok {
		return nil, epoch
	}
	return w.machineAt(member.Address), epoch
}

// others returns the machines that do not own the partition.
func (w *world) others(partition uint32) []*machine {
	owner, _ := w.owner(partition)
	var others []*machine
	for _, m := range w.machines {
		if m != owner {
			others = append(others, m)
		}
	}
	return others
}

// idle makes a message that nothing runs: its delay is long.
func (w *world) idle(name, key string) *rpc.Message {
	w.ledger.add(&sent{name: name, route: "plain", key: key, body: []byte("body of " + name), first: time.Now()})
	return &rpc.Message{Name: name, Route: "plain", Method: "POST", Path: "/plain", Host: "h", RequestId: name,
		OrderKey: key, Body: []byte("body of " + name), DelayLeftMs: time.Hour.Milliseconds()}
}

func (w *world) put(m *machine, mode rpc.PutMode, epoch uint64, message *rpc.Message) rpc.PutStatus {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	client := &storeClient{world: w, from: clientName, address: m.address}
	reply, err := client.Put(ctx, &rpc.PutRequest{Mode: mode, Epochs: []uint64{epoch}, Messages: []*rpc.Message{message},
		PlacedUnder: w.control.tableInForce()})
	must.NoError(w.t, err)
	return reply.Statuses[0]
}

// copies counts the stores whose log holds a message.
func (w *world) copies(name string) int {
	count := 0
	for _, m := range w.machines {
		if p := m.running(); p != nil {
			p.node.do(func() {
				if e := p.node.table.Get(name); e != nil && e.Stored {
					count++
				}
			})
		}
	}
	return count
}

// An owner that knows a message from another store alone must not count a copy of its own.
func TestRepeatedPutCountsOnlyRealCopies(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		const count = 24
		for i := range count {
			m := w.idle(fmt.Sprint("m", i), "")
			must.Eq(t, rpc.PutStatus_STORED, w.put(w.others(0)[0], rpc.PutMode_HOLDER, epoch, m))
		}
		owner.stop(end{})
		owner.start()
		for newer := epoch; newer == epoch; {
			time.Sleep(10 * time.Millisecond)
			owner, newer = w.owner(0)
		}
		_, epoch = w.owner(0)
		for i := range count {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle(fmt.Sprint("m", i), "")))
			must.GreaterEq(t, 2, w.copies(fmt.Sprint("m", i)))
		}
	})
}

// A version of the map is acknowledged once the callback returns: by then it must be in force.
func TestCallbackReturnsOnceTheViewIsInForce(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		p := w.machines[0].running()
		p.freeze()
		time.Sleep(time.Millisecond)
		view := *p.cluster.View()
		var returned atomic.Bool
		go func() { p.cluster.callback(&view); returned.Store(true) }()
		time.Sleep(time.Second)
		must.False(t, returned.Load())
		p.thaw()
		time.Sleep(time.Second)
		must.True(t, returned.Load())
	})
}

// A store is not to report enough copies while it does not know what there is.
func TestPartitionBeingTakenOverCountsAsUnderCopied(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, _ := w.owner(0)
		must.Eq(t, 1, owner.running().node.readyPartitions.Load())
		others := w.others(0)
		heal := w.cut(others[0].name, others[1].name)
		w.cut(others[0].name, others[2].name)
		w.cut(others[1].name, others[2].name)
		w.cut(others[2].name, others[1].name)
		w.cut(others[1].name, others[0].name)
		w.cut(others[2].name, others[0].name)
		owner.stop(end{off: true})
		time.Sleep(10 * time.Second)
		next, _ := w.owner(0)
		must.True(t, next != nil && next != owner)
		p := next.running()
		must.False(t, isReady(p))
		must.Positive(t, p.node.underCopied.Load())
		must.Eq(t, 0, p.node.readyPartitions.Load())
		heal()
	})
}

// Two disks are lost where one may be. The partitions begin again once every store has answered, and what a third store holds is kept.
func TestPartitionsBeginOnceEveryStoreAnswersAfterTooManyDisksWereLost(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		const count = 60
		for i := range count {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle(fmt.Sprint("m", i), "")))
		}
		others := w.others(0)
		lost := []*machine{owner, others[0]}
		kept := map[string]bool{}
		for _, m := range others[1:] {
			for name := range tableOf(m.running()) {
				kept[name] = true
			}
		}
		must.Between(t, 1, len(kept), count-1) // some copies were on the two disks alone
		for _, m := range lost {
			m.stop(end{off: true, loseDisk: true})
		}
		time.Sleep(8 * time.Second)
		next, _ := w.owner(0)
		must.False(t, isReady(next.running()))
		for _, m := range lost {
			m.start()
		}
		time.Sleep(8 * time.Second)
		next, _ = w.owner(0)
		must.True(t, isReady(next.running()))
		table := tableOf(next.running())
		for name := range kept {
			must.Eq(t, rpc.State_QUEUED, table[name].State)
		}
		must.MapLen(t, len(kept), table)
	})
}

// An owner takes nothing from a sender that is behind, and nothing at all once a newer owner has asked it what it holds.
func TestOwnerRefusesWritesBelowItsEpochAndItsFence(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STALE_EPOCH, w.put(owner, rpc.PutMode_OWNER, epoch-1, w.idle("behind", "")))
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("m", "")))
		fences := &rpc.GatherRequest{Caller: "newer", Partitions: []*rpc.PartitionEpoch{{Partition: 0, Epoch: epoch + 1}}}
		_, err := owner.running().node.Gather(t.Context(), fences)
		must.NoError(t, err)
		must.Eq(t, rpc.PutStatus_STALE_EPOCH, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("late", "")))
	})
}

// An owner whose lease has ended takes nothing, whatever it still believes to own.
func TestOwnerTakesNothingOnceItsLeaseHasEnded(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		w.cut(owner.name, controlName)
		w.cut(controlName, owner.name)
		time.Sleep(simLease)
		p := owner.running()
		must.True(t, p.node.do(func() { must.Eq(t, epoch, p.node.table.OwnedEpoch(0)) }))
		must.Eq(t, rpc.PutStatus_NOT_OWNER, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("late", "")))
	})
}

// A map is acknowledged once the node has taken it, and control counts the first report after that: what is missing by the new map must be
// in it, or a store counts as made up for before its copies are.
func TestMissingCopiesAreCountedByAMapBeforeItIsAcknowledged(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		for i := range 40 {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle(fmt.Sprint("m", i), "")))
		}
		time.Sleep(2 * time.Second)
		node := owner.running().node
		must.Eq(t, 0, node.underCopied.Load())
		var counted uint64
		must.True(t, node.do(func() {
			view := *node.view
			view.Map = proto.CloneOf(node.view.Map)
			view.Map.Version++
			holder := node.table.Get("m0").Holders[0]
			view.Map.Stores = slices.DeleteFunc(view.Map.Stores, func(member *rpc.StoreMember) bool { return member.Disk == holder })
			node.changed(&view)
			counted = node.underCopied.Load()
		}))
		must.Positive(t, counted)
	})
}

func isReady(p *process) bool {
	ready := false
	p.node.do(func() { ready = p.node.table.IsReady(0) })
	return ready
}

// A takeover that waits for other stores ends once they come back, however late.
func TestTakeoverWaitsForStoresThatComeLate(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		others := w.others(0)
		m := w.idle("m", "")
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, m))
		owner.stop(end{off: true})
		others[0].stop(end{off: true})
		time.Sleep(time.Minute)
		next, _ := w.owner(0)
		must.False(t, isReady(next.running()))
		others[0].start()
		time.Sleep(5 * time.Second)
		next, _ = w.owner(0)
		must.True(t, isReady(next.running()))
	})
}

// Bodies of the queued and the dead come back, and states stay, after the log was rewritten and replayed.
func TestRewrittenLogReplaysTheSameTable(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		for i := range 60 {
			m := w.idle(fmt.Sprint("m", i), "")
			if i%4 == 3 {
				m.OrderKey = fmt.Sprint("k", i%8)
			}
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, m))
		}
		p := owner.running()
		must.True(t, p.node.do(func() {
			for i := range 60 {
				e := p.node.table.Get(fmt.Sprint("m", i))
				switch i % 4 {
				case 0:
					p.node.table.MarkEnded(e, rpc.State_COMPLETED, "stamp", p.node.now())
				case 1:
					p.node.table.MarkEnded(e, rpc.State_DEAD, "", p.node.now())
				case 2:
					e.Attempts = 2
				}
				p.node.appendFate(e)
			}
		}))
		before := tableOf(p)
		var err error
		must.True(t, p.node.do(func() { err = p.node.rewrite() }))
		must.NoError(t, err)
		must.Eq(t, before, tableOf(p))
		must.True(t, p.node.do(func() { err = p.node.rewrite() })) // also from a log that was rewritten
		must.NoError(t, err)
		owner.stop(end{})
		owner.start()
		must.Eq(t, before, tableOf(owner.running()))
	})
}

// A log without room even for what became of messages is rewritten, and its store starts again.
func TestStoreWithoutAnyRoomRewritesItsLogAndStartsAgain(t *testing.T) {
	size := smallScale
	size.diskMb = 1
	simulated(t, size, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		count := 0
		for status := rpc.PutStatus_STORED; status == rpc.PutStatus_STORED; count++ {
			status = w.put(owner, rpc.PutMode_OWNER, epoch, w.idle(fmt.Sprint("m", count), ""))
		}
		count--
		p := owner.running()
		must.True(t, p.node.do(func() {
			for i := range count {
				e := p.node.table.Get(fmt.Sprint("m", i))
				e.Attempts = 1
				p.node.appendFate(e)
			}
			for i := range count {
				e := p.node.table.Get(fmt.Sprint("m", i))
				p.node.table.MarkEnded(e, rpc.State_COMPLETED, "stamp", p.node.now())
				p.node.appendFate(e)
			}
			fill(t, p)
		}))
		time.Sleep(2 * time.Second)
		must.True(t, p.node.do(func() { fill(t, p) }))
		must.NoError(t, p.node.file.Wait())
		owner.stop(end{})
		owner.start()
		table := tableOf(owner.running())
		for i := range count {
			must.Eq(t, rpc.State_COMPLETED, table[fmt.Sprint("m", i)].State)
		}
	})
}

// fill appends records until the log takes no more.
func fill(t *testing.T, p *process) {
	data, err := encodeRecord(recordFence, time.Now(), &rpc.PartitionEpoch{})
	must.NoError(t, err)
	for err == nil {
		_, err = p.node.file.Append(data)
	}
}

// kept is what must survive of an entry.
type kept struct {
	State    rpc.State
	Stamp    string
	Attempts uint32
	Key      string
	Epoch    uint64
	Seq      uint64
	Body     string // empty for completed messages, whose bytes are not kept
}

func tableOf(p *process) map[string]kept {
	table := map[string]kept{}
	p.node.do(func() {
		p.node.table.Each(func(e *message.Entry) {
			row := kept{State: e.State, Stamp: e.Stamp, Attempts: e.Attempts}
			if e.State != rpc.State_COMPLETED {
				row.Key, row.Epoch, row.Seq = e.OrderKey, e.Epoch, e.Seq
			}
			table[e.Name] = row
		})
	})
	for name, row := range table {
		if row.State == rpc.State_COMPLETED {
			continue
		}
		if m := p.node.stored(name); m != nil {
			row.Body = string(m.Body)
		}
		table[name] = row
	}
	return table
}

// A full store refuses before it writes, keeps what it has promised, and has room for what becomes of it.
func TestFullStoreRefusesAndKeepsItsPromises(t *testing.T) {
	size := smallScale
	size.diskMb = 1
	simulated(t, size, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var accepted []string
		lengths := map[string]int{}
		for _, length := range []int{8 << 10, 1 << 10, 0} { // to the brim
			status := rpc.PutStatus_STORED
			for i := 0; i < 1000 && status == rpc.PutStatus_STORED; i++ {
				m := w.idle(fmt.Sprint("m", length, "-", i), "")
				m.Body = make([]byte, length)
				if status = w.put(owner, rpc.PutMode_OWNER, epoch, m); status == rpc.PutStatus_STORED {
					accepted = append(accepted, m.Name)
					lengths[m.Name] = length
					continue
				}
				must.Eq(t, rpc.PutStatus_FULL, status)
				must.True(t, owner.running().node.do(func() { must.Nil(t, owner.running().node.table.Get(m.Name)) }))
			}
			must.Eq(t, rpc.PutStatus_FULL, status)
		}
		must.Greater(t, 60, len(accepted))
		p := owner.running()
		must.True(t, p.node.do(func() {
			for _, name := range accepted[:20] {
				e := p.node.table.Get(name)
				p.node.table.MarkEnded(e, rpc.State_COMPLETED, "stamp", p.node.now())
				p.node.appendFate(e)
			}
		}))
		must.NoError(t, p.node.file.Wait())
		owner.stop(end{})
		owner.start()
		table := tableOf(owner.running())
		for i, name := range accepted {
			if i < 20 {
				must.Eq(t, rpc.State_COMPLETED, table[name].State)
				continue
			}
			must.Eq(t, rpc.State_QUEUED, table[name].State)
			must.Eq(t, lengths[name], len(table[name].Body))
		}
	})
}

// A store whose disk is full hands its partitions over, so that messages which only their owner may take are taken elsewhere.
func TestPartitionsLeaveAStoreWhoseDiskIsFull(t *testing.T) {
	size := smallScale
	size.diskMb = 1
	simulated(t, size, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		status := rpc.PutStatus_STORED
		for i := 0; i < 1000 && status == rpc.PutStatus_STORED; i++ {
			m := w.idle(fmt.Sprint("m", i), "")
			m.Body = make([]byte, 8<<10)
			status = w.put(owner, rpc.PutMode_OWNER, epoch, m)
		}
		must.Eq(t, rpc.PutStatus_FULL, status)
		must.True(t, owner.running().node.impaired())
		time.Sleep(5 * time.Second)
		next, newEpoch := w.owner(0)
		must.True(t, next != owner)
		must.Eq(t, rpc.PutStatus_STORED, w.put(next, rpc.PutMode_OWNER, newEpoch, w.idle("after", "key")))
	})
}

// A new disk is not whole while messages of its own partitions have too few copies.
func TestNewDiskIsNotWholeBeforeItsOwnPartitionsAreCopied(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		const count = 1500
		for i := range count {
			m := w.idle(fmt.Sprint("m", i), "")
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, m))
		}
		owner.stop(end{off: true, loseDisk: true})
		owner.start()
		for !w.control.allWhole() {
			time.Sleep(10 * time.Millisecond)
		}
		for i := range count {
			must.GreaterEq(t, 2, w.copies(fmt.Sprint("m", i)))
		}
	})
}

// A store that has answered a newer owner refuses the writes of older ones, also where its power is lost right then.
func TestGatheredStoreRefusesOlderEpochs(t *testing.T) {
	for _, powerLost := range []bool{false, true} {
		simulated(t, smallScale, func(t *testing.T, w *world) {
			_, epoch := w.owner(0)
			holder := w.others(0)[0]
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.idle("before", "")))
			reply := w.gather(holder, epoch+5)
			must.False(t, reply.Stale)
			must.Len(t, 1, reply.Messages)
			if powerLost {
				holder.stop(end{off: true})
				holder.start()
			}
			must.Eq(t, rpc.PutStatus_STALE_EPOCH, w.put(holder, rpc.PutMode_HOLDER, epoch, w.idle("after", "")))
			must.True(t, w.gather(holder, epoch+4).Stale)
		})
	}
}

// gather asks a store what it holds of the first partition.
func (w *world) gather(m *machine, epoch uint64) *rpc.GatherReply {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	client := &storeClient{world: w, from: clientName, address: m.address}
	reply, err := client.Gather(ctx, &rpc.GatherRequest{Partitions: []*rpc.PartitionEpoch{{Partition: 0, Epoch: epoch}}})
	must.NoError(w.t, err)
	return reply
}

// replaceDiskUnseen has a store start with an empty disk. The control plane does not learn of it.
func (w *world) replaceDiskUnseen(store *machine) {
	w.cut(store.name, controlName)
	w.cut(controlName, store.name)
	store.stop(end{off: true, loseDisk: true})
	store.start()
}

// The answer of a new, empty disk does not stand for that of the lost one at the same address.
func TestGatherDoesNotCountANewDiskForALostOne(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, _ := w.owner(0)
		w.replaceDiskUnseen(owner)
		time.Sleep(1500 * time.Millisecond)
		absent := w.others(0)[0]
		absent.stop(end{off: true})
		time.Sleep(3 * time.Second)
		next, _ := w.owner(0)
		must.True(t, next != nil && next != owner && next != absent)
		must.False(t, isReady(next.running()))
		absent.start()
		time.Sleep(3 * time.Second)
		next, _ = w.owner(0)
		must.True(t, isReady(next.running()))
	})
}

// Nothing more is to be heard from a disk that another one stands for: a takeover does not wait for it once all others have answered.
func TestTakeoverDoesNotWaitForADiskThatWasReplaced(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		w.replaceDiskUnseen(owner)
		next, newer := w.owner(0)
		for newer == epoch || next == nil {
			time.Sleep(time.Millisecond)
			next, newer = w.owner(0)
		}
		time.Sleep(2 * gatherGrace / 3)
		must.True(t, isReady(next.running()))
	})
}
