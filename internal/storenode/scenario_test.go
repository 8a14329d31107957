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

// runScenario runs a scenario in a simulated deployment that has no faults of its own.
func runScenario(t *testing.T, size scale, scenario func(*testing.T, *world)) {
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, directory, size)
		defer w.shutdown()
		time.Sleep(3 * time.Second)
		scenario(t, w)
	})
}

var smallScale = scale{stores: 4, tolerance: 1, partitions: 1, diskMb: 64}

// owner returns the machine that owns a partition, and the epoch.
func (w *world) owner(partition uint32) (*machine, uint64) {
	view, _ := w.control.current()
	member, epoch, ok := view.Owner(partition)
	if !ok {
		return nil, epoch
	}
	return w.machineAt(member.Address), epoch
}

// nonOwners returns the machines that do not own the partition.
func (w *world) nonOwners(partition uint32) []*machine {
	owner, _ := w.owner(partition)
	var nonOwners []*machine
	for _, m := range w.machines {
		if m != owner {
			nonOwners = append(nonOwners, m)
		}
	}
	return nonOwners
}

// delayedMessage returns a message that does not run during a test, because of its long delay.
func (w *world) delayedMessage(name, key string) *rpc.Message {
	w.checker.add(&sentMessage{name: name, route: "plain", key: key, body: []byte("body of " + name), firstSentAt: time.Now()})
	return &rpc.Message{Name: name, Route: "plain", Method: "POST", Path: "/plain", Host: "h", RequestId: name,
		OrderKey: key, Body: []byte("body of " + name), DelayLeftMs: time.Hour.Milliseconds()}
}

func (w *world) put(m *machine, mode rpc.PutMode, epoch uint64, message *rpc.Message) rpc.PutStatus {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	client := &storeClient{world: w, from: clientName, address: m.address}
	reply, err := client.Put(ctx, &rpc.PutRequest{Mode: mode, Epochs: []uint64{epoch}, Messages: []*rpc.Message{message},
		PlacedUnder: w.control.currentMapVersion()})
	must.NoError(w.t, err)
	return reply.Statuses[0]
}

// copyCount returns the number of stores whose log holds a message.
func (w *world) copyCount(name string) int {
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

// An owner that knows a message only from another store must write its own copy before it counts it.
func TestRepeatedPutCountsOnlyRealCopies(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		const count = 24
		for i := range count {
			m := w.delayedMessage(fmt.Sprint("m", i), "")
			must.Eq(t, rpc.PutStatus_STORED, w.put(w.nonOwners(0)[0], rpc.PutMode_HOLDER, epoch, m))
		}
		owner.stop(shutdown{})
		owner.start()
		for newer := epoch; newer == epoch; {
			time.Sleep(10 * time.Millisecond)
			owner, newer = w.owner(0)
		}
		_, epoch = w.owner(0)
		for i := range count {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage(fmt.Sprint("m", i), "")))
			must.GreaterEq(t, 2, w.copyCount(fmt.Sprint("m", i)))
		}
	})
}

// A map version is acknowledged once the callback returns, so the view must be in force by then.
func TestCallbackReturnsOnceTheViewIsInForce(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
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

// A store must not report enough copies before it has gathered the messages of its partitions.
func TestPartitionBeingTakenOverCountsAsUnderCopied(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, _ := w.owner(0)
		must.Eq(t, 1, owner.running().node.readyPartitions.Load())
		others := w.nonOwners(0)
		heal := w.cutLink(others[0].name, others[1].name)
		w.cutLink(others[0].name, others[2].name)
		w.cutLink(others[1].name, others[2].name)
		w.cutLink(others[2].name, others[1].name)
		w.cutLink(others[1].name, others[0].name)
		w.cutLink(others[2].name, others[0].name)
		owner.stop(shutdown{powerLost: true})
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

// Two disks are lost where only one is tolerated: the partitions start again once every store has answered, and the copies on the other
// disks are kept.
func TestPartitionsBeginOnceEveryStoreAnswersAfterTooManyDisksWereLost(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		const count = 60
		for i := range count {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage(fmt.Sprint("m", i), "")))
		}
		others := w.nonOwners(0)
		lost := []*machine{owner, others[0]}
		kept := map[string]bool{}
		for _, m := range others[1:] {
			for name := range tableState(m.running()) {
				kept[name] = true
			}
		}
		must.Between(t, 1, len(kept), count-1) // some messages had copies only on the two disks
		for _, m := range lost {
			m.stop(shutdown{powerLost: true, loseDisk: true})
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
		table := tableState(next.running())
		for name := range kept {
			must.Eq(t, rpc.State_QUEUED, table[name].State)
		}
		must.MapLen(t, len(kept), table)
	})
}

// An owner refuses writes with an outdated epoch, and all writes once a newer owner has gathered from it.
func TestOwnerRefusesWritesBelowItsEpochAndItsFence(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STALE_EPOCH, w.put(owner, rpc.PutMode_OWNER, epoch-1, w.delayedMessage("behind", "")))
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("m", "")))
		fences := &rpc.GatherRequest{Caller: "newer", Partitions: []*rpc.PartitionEpoch{{Partition: 0, Epoch: epoch + 1}}}
		_, err := owner.running().node.Gather(t.Context(), fences)
		must.NoError(t, err)
		must.Eq(t, rpc.PutStatus_STALE_EPOCH, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("late", "")))
	})
}

// An owner whose lease has ended accepts nothing, even if it does not know yet that it lost the partition.
func TestOwnerAcceptsNothingAfterItsLeaseHasEnded(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		w.cutLink(owner.name, controlName)
		w.cutLink(controlName, owner.name)
		time.Sleep(simLease)
		p := owner.running()
		must.True(t, p.node.do(func() { must.Eq(t, epoch, p.node.table.OwnedEpoch(0)) }))
		must.Eq(t, rpc.PutStatus_NOT_OWNER, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("late", "")))
	})
}

// The control plane uses the first report after a map was acknowledged. Copies that are missing under the new map must be counted in that
// report; otherwise the loss of a store would count as restored too early.
func TestMissingCopiesAreCountedByAMapBeforeItIsAcknowledged(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		for i := range 40 {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage(fmt.Sprint("m", i), "")))
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
			node.applyView(&view)
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

// A takeover that waits for other stores ends when they return, after any time.
func TestTakeoverWaitsForLateStores(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		others := w.nonOwners(0)
		m := w.delayedMessage("m", "")
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, m))
		owner.stop(shutdown{powerLost: true})
		others[0].stop(shutdown{powerLost: true})
		time.Sleep(time.Minute)
		next, _ := w.owner(0)
		must.False(t, isReady(next.running()))
		others[0].start()
		time.Sleep(5 * time.Second)
		next, _ = w.owner(0)
		must.True(t, isReady(next.running()))
	})
}

// Rewriting and replaying the log keeps all states, and the bodies of queued messages and dead letters.
func TestRewrittenLogReplaysTheSameTable(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		for i := range 60 {
			m := w.delayedMessage(fmt.Sprint("m", i), "")
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
				p.node.writeAndSyncFate(e)
			}
		}))
		before := tableState(p)
		var err error
		must.True(t, p.node.do(func() { err = p.node.rewrite() }))
		must.NoError(t, err)
		must.Eq(t, before, tableState(p))
		must.True(t, p.node.do(func() { err = p.node.rewrite() })) // the second rewrite reads a rewritten log
		must.NoError(t, err)
		owner.stop(shutdown{})
		owner.start()
		must.Eq(t, before, tableState(owner.running()))
	})
}

// A log that has no space left even for fates is rewritten, and the store can restart.
func TestStoreWithFullLogRewritesItAndRestarts(t *testing.T) {
	size := smallScale
	size.diskMb = 1
	runScenario(t, size, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		count := 0
		for status := rpc.PutStatus_STORED; status == rpc.PutStatus_STORED; count++ {
			status = w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage(fmt.Sprint("m", count), ""))
		}
		count--
		p := owner.running()
		must.True(t, p.node.do(func() {
			for i := range count {
				e := p.node.table.Get(fmt.Sprint("m", i))
				e.Attempts = 1
				p.node.writeAndSyncFate(e)
			}
			for i := range count {
				e := p.node.table.Get(fmt.Sprint("m", i))
				p.node.table.MarkEnded(e, rpc.State_COMPLETED, "stamp", p.node.now())
				p.node.writeAndSyncFate(e)
			}
			fillLog(t, p)
		}))
		time.Sleep(2 * time.Second)
		must.True(t, p.node.do(func() { fillLog(t, p) }))
		must.NoError(t, p.node.file.Wait())
		owner.stop(shutdown{})
		owner.start()
		table := tableState(owner.running())
		for i := range count {
			must.Eq(t, rpc.State_COMPLETED, table[fmt.Sprint("m", i)].State)
		}
	})
}

// fillLog appends records until the log is full.
func fillLog(t *testing.T, p *process) {
	data, err := encodeRecord(recordFence, time.Now(), &rpc.PartitionEpoch{})
	must.NoError(t, err)
	for err == nil {
		_, err = p.node.file.Append(data)
	}
}

// durableState is the part of an entry that must survive a restart.
type durableState struct {
	State    rpc.State
	Stamp    string
	Attempts uint32
	Key      string
	Epoch    uint64
	Seq      uint64
	Body     string // empty for completed messages, whose bodies are not kept
}

func tableState(p *process) map[string]durableState {
	table := map[string]durableState{}
	p.node.do(func() {
		p.node.table.Each(func(e *message.Entry) {
			row := durableState{State: e.State, Stamp: e.Stamp, Attempts: e.Attempts}
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
		if m := p.node.readStored(name); m != nil {
			row.Body = string(m.Body)
		}
		table[name] = row
	}
	return table
}

// A full store refuses messages without writing them, keeps all accepted messages, and has space for their final states.
func TestFullStoreRefusesMessagesAndKeepsAcceptedOnes(t *testing.T) {
	size := smallScale
	size.diskMb = 1
	runScenario(t, size, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var accepted []string
		lengths := map[string]int{}
		for _, length := range []int{8 << 10, 1 << 10, 0} { // until not even an empty body fits
			status := rpc.PutStatus_STORED
			for i := 0; i < 1000 && status == rpc.PutStatus_STORED; i++ {
				m := w.delayedMessage(fmt.Sprint("m", length, "-", i), "")
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
				p.node.writeAndSyncFate(e)
			}
		}))
		must.NoError(t, p.node.file.Wait())
		owner.stop(shutdown{})
		owner.start()
		table := tableState(owner.running())
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

// A store whose disk is full hands over its partitions, so that other stores can accept messages that only the owner may accept.
func TestPartitionsMoveAwayFromStoreWithFullDisk(t *testing.T) {
	size := smallScale
	size.diskMb = 1
	runScenario(t, size, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		status := rpc.PutStatus_STORED
		for i := 0; i < 1000 && status == rpc.PutStatus_STORED; i++ {
			m := w.delayedMessage(fmt.Sprint("m", i), "")
			m.Body = make([]byte, 8<<10)
			status = w.put(owner, rpc.PutMode_OWNER, epoch, m)
		}
		must.Eq(t, rpc.PutStatus_FULL, status)
		must.True(t, owner.running().node.isImpaired())
		time.Sleep(5 * time.Second)
		next, newEpoch := w.owner(0)
		must.True(t, next != owner)
		must.Eq(t, rpc.PutStatus_STORED, w.put(next, rpc.PutMode_OWNER, newEpoch, w.delayedMessage("after", "key")))
	})
}

// A new disk does not become whole while messages of its own partitions have too few copies.
func TestNewDiskIsNotWholeBeforeItsOwnPartitionsAreCopied(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		const count = 1500
		for i := range count {
			m := w.delayedMessage(fmt.Sprint("m", i), "")
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, m))
		}
		owner.stop(shutdown{powerLost: true, loseDisk: true})
		owner.start()
		for !w.control.allWhole() {
			time.Sleep(10 * time.Millisecond)
		}
		for i := range count {
			must.GreaterEq(t, 2, w.copyCount(fmt.Sprint("m", i)))
		}
	})
}

// A store that has answered a newer owner refuses writes under older epochs, even if it loses power right after the answer.
func TestGatheredStoreRefusesOlderEpochs(t *testing.T) {
	for _, withPowerLoss := range []bool{false, true} {
		runScenario(t, smallScale, func(t *testing.T, w *world) {
			_, epoch := w.owner(0)
			holder := w.nonOwners(0)[0]
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.delayedMessage("before", "")))
			reply := w.gather(holder, epoch+5)
			must.False(t, reply.Stale)
			must.Len(t, 1, reply.Messages)
			if withPowerLoss {
				holder.stop(shutdown{powerLost: true})
				holder.start()
			}
			must.Eq(t, rpc.PutStatus_STALE_EPOCH, w.put(holder, rpc.PutMode_HOLDER, epoch, w.delayedMessage("after", "")))
			must.True(t, w.gather(holder, epoch+4).Stale)
		})
	}
}

// gather sends a Gather request for the first partition.
func (w *world) gather(m *machine, epoch uint64) *rpc.GatherReply {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	client := &storeClient{world: w, from: clientName, address: m.address}
	reply, err := client.Gather(ctx, &rpc.GatherRequest{Partitions: []*rpc.PartitionEpoch{{Partition: 0, Epoch: epoch}}})
	must.NoError(w.t, err)
	return reply
}

// replaceDiskUnseen restarts a store with an empty disk while it is disconnected from the control plane.
func (w *world) replaceDiskUnseen(store *machine) {
	w.cutLink(store.name, controlName)
	w.cutLink(controlName, store.name)
	store.stop(shutdown{powerLost: true, loseDisk: true})
	store.start()
}

// The answer of an empty replacement disk must not count as that of the lost disk at the same address.
func TestGatherDoesNotCountReplacementDiskAsLostOne(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, _ := w.owner(0)
		w.replaceDiskUnseen(owner)
		time.Sleep(1500 * time.Millisecond)
		absent := w.nonOwners(0)[0]
		absent.stop(shutdown{powerLost: true})
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

// A replaced disk can't answer any more: a takeover must not wait for it once all others have answered.
func TestTakeoverDoesNotWaitForReplacedDisk(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		w.replaceDiskUnseen(owner)
		next, newer := w.owner(0)
		for newer == epoch || next == nil {
			time.Sleep(time.Millisecond)
			next, newer = w.owner(0)
		}
		time.Sleep(2 * gatherGracePeriod / 3)
		must.True(t, isReady(next.running()))
	})
}
