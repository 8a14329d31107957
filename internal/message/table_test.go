package message

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

const startTarget = 500 * time.Millisecond

func queuedEntry(name, route, key string, partition uint32, due time.Duration) *Entry {
	return &Entry{Name: name, Route: route, OrderKey: key, Partition: partition, Due: due, BodyBytes: 10}
}

func ownedTable(partitions ...uint32) *Table {
	t := NewTable()
	for _, id := range partitions {
		t.BeginOwnership(id, 1)
		t.MarkReady(id, 0)
	}
	return t
}

func TestOrderKeyRunsOneAtATimeInOrder(t *testing.T) {
	table := ownedTable(0)
	for i := range 3 {
		e := queuedEntry(fmt.Sprint(i), "r", "key", 0, 0)
		table.AssignSeq(e)
		table.Add(e, 0)
	}
	first := table.StartNext("r", startTarget, 0)
	must.Eq(t, "0", first.Name)
	must.Nil(t, table.StartNext("r", startTarget, 0))
	table.Requeue(first, 50*time.Millisecond, 0) // its outcome is unknown: the others keep waiting
	must.Nil(t, table.StartNext("r", startTarget, 10*time.Millisecond))
	table.Advance(50 * time.Millisecond)
	must.Eq(t, first, table.StartNext("r", startTarget, 50*time.Millisecond))
	table.FinishAttempt(first, rpc.State_COMPLETED, "s", 60*time.Millisecond)
	must.Eq(t, "1", table.StartNext("r", startTarget, 60*time.Millisecond).Name)
}

func TestEndDuringAttemptReleasesOrderKey(t *testing.T) {
	table := ownedTable(0)
	for i := range 2 {
		e := queuedEntry(fmt.Sprint(i), "r", "key", 0, 0)
		table.AssignSeq(e)
		table.Add(e, 0)
	}
	first := table.StartNext("r", startTarget, 0)
	must.True(t, table.MarkEnded(first, rpc.State_COMPLETED, "s", 1))
	must.Nil(t, table.StartNext("r", startTarget, 1)) // the attempt is still in progress
	table.Requeue(first, 2, 2)
	must.Eq(t, "1", table.StartNext("r", startTarget, 2).Name)
}

func TestGatheredMessagesKeepOrderOfFormerOwner(t *testing.T) {
	table := NewTable()
	table.BeginOwnership(0, 7)
	for _, seq := range []uint64{3, 1, 2} {
		e := queuedEntry(fmt.Sprint(seq), "r", "key", 0, 0)
		e.Epoch, e.Seq = 6, seq
		table.Add(e, 0)
	}
	must.Nil(t, table.StartNext("r", startTarget, 0)) // not ready
	table.MarkReady(0, 0)
	later := queuedEntry("new", "r", "key", 0, 0)
	table.AssignSeq(later)
	table.Add(later, 0)
	for _, name := range []string{"1", "2", "3", "new"} {
		e := table.StartNext("r", startTarget, 0)
		must.Eq(t, name, e.Name)
		table.FinishAttempt(e, rpc.State_COMPLETED, "s", 0)
	}
}

func TestPausedPartitionStartsNothing(t *testing.T) {
	table := ownedTable(0)
	table.Add(queuedEntry("a", "r", "", 0, 0), 0)
	table.Pause(0)
	must.Nil(t, table.StartNext("r", startTarget, 0))
	table.Resume(0, 0)
	must.Eq(t, "a", table.StartNext("r", startTarget, 0).Name)
}

func TestRequeuedMessageWaitsUntilDue(t *testing.T) {
	table := ownedTable(0)
	table.Add(queuedEntry("a", "r", "", 0, 0), 0)
	e := table.StartNext("r", startTarget, 0)
	table.Pause(0)
	table.Resume(0, 0)
	table.Requeue(e, time.Second, 0)
	must.Nil(t, table.StartNext("r", startTarget, 0))
	due, ok := table.NextDue()
	must.True(t, ok)
	must.Eq(t, time.Second, due)
	table.Advance(time.Second)
	must.Eq(t, e, table.StartNext("r", startTarget, time.Second))
}

func TestOnlySuccessReplacesDeadLetter(t *testing.T) {
	table := ownedTable(0)
	e := table.Add(queuedEntry("a", "r", "", 0, 0), 0)
	must.True(t, table.MarkEnded(e, rpc.State_DEAD, "", 1))
	must.True(t, table.MarkEnded(e, rpc.State_COMPLETED, "s", 2))
	must.False(t, table.MarkEnded(e, rpc.State_DEAD, "", 3))
	must.Eq(t, "s", e.Stamp)
	must.Eq(t, 0, table.LiveBytes())
}

func TestExpireEndedRespectsRetention(t *testing.T) {
	table := ownedTable(0)
	e := table.Add(queuedEntry("a", "r", "", 0, 0), 0)
	table.MarkEnded(e, rpc.State_COMPLETED, "s", time.Second)
	must.Eq(t, 0, table.ExpireEnded(time.Minute, time.Minute))
	must.Eq(t, 1, table.ExpireEnded(time.Minute, 2*time.Minute))
	must.Nil(t, table.Get("a"))
}

// Performs random operations, including changes of ownership, and checks the invariants after each step.
func TestRandomOperationsKeepInvariants(t *testing.T) {
	for seed := range uint64(40) {
		rt := &randomTest{t: t, rng: rand.New(rand.NewPCG(seed, 1)), table: NewTable(), lastSeq: map[string]uint64{}}
		for range 3000 {
			rt.step()
		}
		rt.drain()
	}
}

const randomTestPartitions = 3

// randomTest applies random operations to a table and checks the invariants.
type randomTest struct {
	t       *testing.T
	rng     *rand.Rand
	table   *Table
	now     time.Duration
	running []*Entry
	epoch   uint64
	added   int
	ended   int
	lastSeq map[string]uint64 // by order key: epoch << 32 | sequence number of the last message that ended
}

func (rt *randomTest) step() {
	rt.now += time.Duration(rt.rng.IntN(20)) * time.Millisecond
	rt.table.Advance(rt.now)
	id := uint32(rt.rng.IntN(randomTestPartitions))
	switch rt.rng.IntN(10) {
	case 0:
		rt.epoch++
		rt.table.BeginOwnership(id, rt.epoch)
	case 1:
		if rt.table.OwnedEpoch(id) > 0 {
			rt.table.MarkReady(id, rt.now)
		}
	case 2:
		if rt.rng.IntN(4) == 0 {
			rt.table.EndOwnership(id)
		}
	case 3:
		rt.table.Pause(id)
	case 4:
		rt.table.Resume(id, rt.now)
	case 5, 6:
		rt.add(id)
	default:
		rt.attempt()
	}
}

func (rt *randomTest) add(id uint32) {
	if rt.table.OwnedEpoch(id) == 0 {
		return
	}
	key := ""
	if rt.rng.IntN(2) == 0 {
		key = fmt.Sprintf("%d-%d", id, rt.rng.IntN(3))
	}
	due := rt.now + time.Duration(rt.rng.IntN(100))*time.Millisecond
	if key != "" {
		due = rt.now
	}
	e := queuedEntry(fmt.Sprint(rt.added), fmt.Sprintf("r%d", rt.rng.IntN(2)), key, id, due)
	rt.added++
	rt.table.AssignSeq(e)
	rt.table.Add(e, rt.now)
}

func (rt *randomTest) attempt() {
	if len(rt.running) > 0 && rt.rng.IntN(2) == 0 {
		i := rt.rng.IntN(len(rt.running))
		e := rt.running[i]
		rt.running = append(rt.running[:i], rt.running[i+1:]...)
		if rt.rng.IntN(3) == 0 {
			rt.table.Requeue(e, rt.now+time.Duration(rt.rng.IntN(30))*time.Millisecond, rt.now)
			return
		}
		rt.finish(e)
		return
	}
	if e := rt.table.StartNext(fmt.Sprintf("r%d", rt.rng.IntN(2)), startTarget, rt.now); e != nil {
		rt.started(e)
	}
}

func (rt *randomTest) started(e *Entry) {
	must.LessEq(rt.t, rt.now, e.Due)
	must.False(rt.t, e.Ended())
	must.True(rt.t, rt.table.IsReady(e.Partition))
	for _, other := range rt.running {
		must.True(rt.t, e != other)
		if e.OrderKey != "" {
			must.NotEq(rt.t, e.OrderKey, other.OrderKey)
		}
	}
	rt.running = append(rt.running, e)
}

func (rt *randomTest) finish(e *Entry) {
	rt.table.FinishAttempt(e, rpc.State_COMPLETED, "s", rt.now)
	rt.ended++
	if e.OrderKey != "" {
		position := e.Epoch<<32 | e.Seq
		must.Greater(rt.t, rt.lastSeq[e.OrderKey], position)
		rt.lastSeq[e.OrderKey] = position
	}
}

// drain takes ownership of all partitions and runs all messages: none may be left behind.
func (rt *randomTest) drain() {
	for _, e := range rt.running {
		rt.finish(e)
	}
	rt.running = nil
	for id := range uint32(randomTestPartitions) {
		rt.epoch++
		rt.table.BeginOwnership(id, rt.epoch)
		rt.table.MarkReady(id, rt.now)
	}
	rt.now += time.Second
	for rt.table.Queued() > 0 {
		rt.table.Advance(rt.now)
		e := rt.table.StartNext("r0", startTarget, rt.now)
		if e == nil {
			e = rt.table.StartNext("r1", startTarget, rt.now)
		}
		must.NotNil(rt.t, e, must.Sprintf("%d messages are queued, but none may run", rt.table.Queued()))
		rt.finish(e)
	}
	must.Eq(rt.t, rt.added, rt.ended)
	must.Eq(rt.t, 0, rt.table.LiveBytes())
}

// A message may be added after a later one of its order key has started. It must run once that attempt has ended.
func TestMessageAddedOutOfOrderRunsAfterCurrentAttempt(t *testing.T) {
	table := ownedTable(0)
	second := queuedEntry("second", "r", "key", 0, 0)
	second.Epoch, second.Seq = 1, 2
	table.Add(second, 0)
	must.Eq(t, second, table.StartNext("r", startTarget, 0))
	first := queuedEntry("first", "r", "key", 0, 0)
	first.Epoch, first.Seq = 1, 1
	table.Add(first, 0)
	must.Nil(t, table.StartNext("r", startTarget, 0))
	table.Requeue(second, 0, 0)
	must.Eq(t, first, table.StartNext("r", startTarget, 0))
	table.FinishAttempt(first, rpc.State_COMPLETED, "s", 0)
	must.Eq(t, second, table.StartNext("r", startTarget, 0))
}

func TestRemoveMessageHeldByOthers(t *testing.T) {
	table := ownedTable(0)
	first, second := queuedEntry("first", "r", "key", 0, 0), queuedEntry("second", "r", "key", 0, 0)
	table.AssignSeq(first)
	table.AssignSeq(second)
	table.Add(first, 0)
	table.Add(second, 0)
	table.EndOwnership(0)
	table.Remove(first)
	must.Nil(t, table.Get("first"))
	must.Eq(t, 1, table.Queued())
	must.Eq(t, second.BodyBytes, table.LiveBytes())
	table.BeginOwnership(0, 2)
	table.MarkReady(0, 0)
	must.Eq(t, second, table.StartNext("r", startTarget, 0))
}

func TestNothingRunsBeforePartitionIsReady(t *testing.T) {
	table := NewTable()
	table.BeginOwnership(0, 2)
	table.Add(queuedEntry("m", "r", "", 0, 0), 0)
	must.Nil(t, table.StartNext("r", startTarget, time.Second))
	table.MarkReady(0, time.Second)
	must.Eq(t, "m", table.StartNext("r", startTarget, time.Second).Name)
}

func TestCompletionMessageKeepsAge(t *testing.T) {
	e := &Entry{Name: "m", Partition: 3, State: rpc.State_COMPLETED, Stamp: "s", Body: []byte("body"), BodyBytes: 4, EndedAt: 2 * time.Second,
		Epoch: 5, Seq: 6}
	received := NewEntry(e.CompletionMessage(9*time.Second), 30*time.Second)
	must.EqOp(t, "m", received.Name)
	must.EqOp(t, 3, received.Partition)
	must.EqOp(t, rpc.State_COMPLETED, received.State)
	must.EqOp(t, "s", received.Stamp)
	must.EqOp(t, 23*time.Second, received.EndedAt)
	must.EqOp(t, 0, received.BodyBytes)
}

// Messages that are due move to the queue of their new route, those that run are counted where they started.
func TestRoutingMovesDueMessages(t *testing.T) {
	table := ownedTable(0)
	for _, name := range []string{"running", "due", "later"} {
		table.Add(queuedEntry(name, "old", "", 0, 0), 0)
	}
	running := table.StartNext("old", startTarget, 0)
	later := table.Get("later")
	table.Requeue(table.StartNext("old", startTarget, 0), time.Second, 0)
	table.SetRouting(func(e *Entry) (string, bool) { return "new", false }, 0)
	must.Nil(t, table.StartNext("old", startTarget, 0))
	must.NotNil(t, table.StartNext("new", startTarget, 0))
	must.Nil(t, table.StartNext("new", startTarget, 0))
	table.EachWaitingRoute(func(route string, waiting, _ int) { t.Fatalf("%d messages wait for route %s", waiting, route) })
	table.FinishAttempt(running, rpc.State_COMPLETED, "s", 0)
	table.Advance(time.Second)
	must.NotNil(t, table.StartNext("new", startTarget, time.Second))
	must.NotNil(t, later)
}

// A message keeps waiting for the earlier ones of its key if it was accepted with order, whatever its route says now, and does so too once
// its route gets order.
func TestOrderHoldsByAcceptanceOrByRoute(t *testing.T) {
	for _, test := range []struct{ accepted, now, waits bool }{{true, true, true}, {true, false, true}, {false, true, true}, {false, false, false}} {
		table := ownedTable(0)
		table.SetRouting(func(*Entry) (string, bool) { return "r", test.now }, 0)
		for i := range 2 {
			e := queuedEntry(fmt.Sprint(i), "r", "key", 0, 0)
			e.Promise.Ordered = test.accepted
			table.AssignSeq(e)
			table.Add(e, 0)
		}
		first := table.StartNext("r", startTarget, 0)
		must.Eq(t, "0", first.Name)
		must.Eq(t, test.waits, table.StartNext("r", startTarget, 0) == nil)
		table.FinishAttempt(first, rpc.State_COMPLETED, "s", 0)
		if test.waits {
			must.Eq(t, "1", table.StartNext("r", startTarget, 0).Name)
		}
	}
}

// Messages that waited only because their route had order run once it has none.
func TestMessagesOfAKeyRunOnceTheirRouteLosesOrder(t *testing.T) {
	table := ownedTable(0)
	for i := range 3 {
		e := queuedEntry(fmt.Sprint(i), "r", "key", 0, 0)
		table.AssignSeq(e)
		table.Add(e, 0)
	}
	must.NotNil(t, table.StartNext("r", startTarget, 0))
	must.Nil(t, table.StartNext("r", startTarget, 0))
	table.SetRouting(func(*Entry) (string, bool) { return "r", false }, 0)
	must.NotNil(t, table.StartNext("r", startTarget, 0))
	must.NotNil(t, table.StartNext("r", startTarget, 0))
}

// What a message was promised travels with its copies.
func TestPromiseIsCopied(t *testing.T) {
	promise := Promise{ConfigVersion: 7, Retries: 4, Retention: 90 * time.Second, Ordered: true}
	table := NewTable()
	table.Add(NewEntry((&Entry{Name: "m", Promise: promise}).Message(0), 0), 0)
	must.Eq(t, promise, table.Get("m").Promise)
	must.EqOp(t, 0, table.ConfigVersion()) // another store decides about it
	table.BeginOwnership(0, 1)
	must.EqOp(t, 7, table.ConfigVersion())
	table.Add(NewEntry((&Entry{Name: "later", Promise: Promise{ConfigVersion: 8}}).Message(0), 0), 0)
	must.EqOp(t, 8, table.ConfigVersion())
	must.EqOp(t, 90*time.Second, table.Retention())
	legacy := NewEntry(&rpc.Message{Name: "old", OrderKey: "key"}, 0)
	must.True(t, legacy.Promise.Ordered) // builds that told no configuration kept a key only where it ordered
}
