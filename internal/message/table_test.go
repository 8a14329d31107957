package message

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

const aim = 500 * time.Millisecond

func queued(name, route, key string, partition uint32, due time.Duration) *Entry {
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

func TestKeyRunsOneAtATimeInOrder(t *testing.T) {
	table := ownedTable(0)
	for i := range 3 {
		e := queued(fmt.Sprint(i), "r", "key", 0, 0)
		table.AssignSeq(e)
		table.Add(e, 0)
	}
	first := table.StartNext("r", aim, 0)
	must.Eq(t, "0", first.Name)
	must.Nil(t, table.StartNext("r", aim, 0))
	table.Requeue(first, 50*time.Millisecond, 0) // its outcome is unknown: the others go on waiting
	must.Nil(t, table.StartNext("r", aim, 10*time.Millisecond))
	table.Advance(50 * time.Millisecond)
	must.Eq(t, first, table.StartNext("r", aim, 50*time.Millisecond))
	table.FinishAttempt(first, rpc.State_COMPLETED, "s", 60*time.Millisecond)
	must.Eq(t, "1", table.StartNext("r", aim, 60*time.Millisecond).Name)
}

func TestEndReportedWhileRunningReleasesTheKey(t *testing.T) {
	table := ownedTable(0)
	for i := range 2 {
		e := queued(fmt.Sprint(i), "r", "key", 0, 0)
		table.AssignSeq(e)
		table.Add(e, 0)
	}
	first := table.StartNext("r", aim, 0)
	must.True(t, table.MarkEnded(first, rpc.State_COMPLETED, "s", 1))
	must.Nil(t, table.StartNext("r", aim, 1)) // the attempt is still under way
	table.Requeue(first, 2, 2)
	must.Eq(t, "1", table.StartNext("r", aim, 2).Name)
}

func TestGatheredMessagesKeepTheOrderOfTheFormerOwner(t *testing.T) {
	table := NewTable()
	table.BeginOwnership(0, 7)
	for _, seq := range []uint64{3, 1, 2} {
		e := queued(fmt.Sprint(seq), "r", "key", 0, 0)
		e.Epoch, e.Seq = 6, seq
		table.Add(e, 0)
	}
	must.Nil(t, table.StartNext("r", aim, 0)) // not ready
	table.MarkReady(0, 0)
	later := queued("new", "r", "key", 0, 0)
	table.AssignSeq(later)
	table.Add(later, 0)
	for _, name := range []string{"1", "2", "3", "new"} {
		e := table.StartNext("r", aim, 0)
		must.Eq(t, name, e.Name)
		table.FinishAttempt(e, rpc.State_COMPLETED, "s", 0)
	}
}

func TestPausedPartitionBeginsNothing(t *testing.T) {
	table := ownedTable(0)
	table.Add(queued("a", "r", "", 0, 0), 0)
	table.Pause(0)
	must.Nil(t, table.StartNext("r", aim, 0))
	table.Resume(0, 0)
	must.Eq(t, "a", table.StartNext("r", aim, 0).Name)
}

func TestRetriedMessageWaitsForItsPause(t *testing.T) {
	table := ownedTable(0)
	table.Add(queued("a", "r", "", 0, 0), 0)
	e := table.StartNext("r", aim, 0)
	table.Pause(0)
	table.Resume(0, 0)
	table.Requeue(e, time.Second, 0)
	must.Nil(t, table.StartNext("r", aim, 0))
	due, ok := table.NextDue()
	must.True(t, ok)
	must.Eq(t, time.Second, due)
	table.Advance(time.Second)
	must.Eq(t, e, table.StartNext("r", aim, time.Second))
}

func TestSuccessReplacesADeadLetterButNothingReplacesASuccess(t *testing.T) {
	table := ownedTable(0)
	e := table.Add(queued("a", "r", "", 0, 0), 0)
	must.True(t, table.MarkEnded(e, rpc.State_DEAD, "", 1))
	must.True(t, table.MarkEnded(e, rpc.State_COMPLETED, "s", 2))
	must.False(t, table.MarkEnded(e, rpc.State_DEAD, "", 3))
	must.Eq(t, "s", e.Stamp)
	must.Eq(t, 0, table.LiveBytes())
}

func TestForgetKeepsStatesForTheirTime(t *testing.T) {
	table := ownedTable(0)
	e := table.Add(queued("a", "r", "", 0, 0), 0)
	table.MarkEnded(e, rpc.State_COMPLETED, "s", time.Second)
	must.Eq(t, 0, table.ExpireEnded(time.Minute, time.Minute))
	must.Eq(t, 1, table.ExpireEnded(time.Minute, 2*time.Minute))
	must.Nil(t, table.Get("a"))
}

// The random walk below plays owners that come and go, and checks what must hold after every step.
func TestRandomWalkKeepsTheInvariants(t *testing.T) {
	for seed := range uint64(40) {
		w := &walk{t: t, rng: rand.New(rand.NewPCG(seed, 1)), table: NewTable(), lastSeq: map[string]uint64{}}
		for range 3000 {
			w.step()
		}
		w.drain()
	}
}

const walkPartitions = 3

type walk struct {
	t       *testing.T
	rng     *rand.Rand
	table   *Table
	now     time.Duration
	running []*Entry
	epoch   uint64
	added   int
	ended   int
	lastSeq map[string]uint64 // of the last message of a key that ended
}

func (w *walk) step() {
	w.now += time.Duration(w.rng.IntN(20)) * time.Millisecond
	w.table.Advance(w.now)
	id := uint32(w.rng.IntN(walkPartitions))
	switch w.rng.IntN(10) {
	case 0:
		w.epoch++
		w.table.BeginOwnership(id, w.epoch)
	case 1:
		if w.table.OwnedEpoch(id) > 0 {
			w.table.MarkReady(id, w.now)
		}
	case 2:
		if w.rng.IntN(4) == 0 {
			w.table.EndOwnership(id)
		}
	case 3:
		w.table.Pause(id)
	case 4:
		w.table.Resume(id, w.now)
	case 5, 6:
		w.add(id)
	default:
		w.attempt()
	}
}

func (w *walk) add(id uint32) {
	if w.table.OwnedEpoch(id) == 0 {
		return
	}
	key := ""
	if w.rng.IntN(2) == 0 {
		key = fmt.Sprintf("%d-%d", id, w.rng.IntN(3))
	}
	due := w.now + time.Duration(w.rng.IntN(100))*time.Millisecond
	if key != "" {
		due = w.now
	}
	e := queued(fmt.Sprint(w.added), fmt.Sprintf("r%d", w.rng.IntN(2)), key, id, due)
	w.added++
	w.table.AssignSeq(e)
	w.table.Add(e, w.now)
}

func (w *walk) attempt() {
	if len(w.running) > 0 && w.rng.IntN(2) == 0 {
		i := w.rng.IntN(len(w.running))
		e := w.running[i]
		w.running = append(w.running[:i], w.running[i+1:]...)
		if w.rng.IntN(3) == 0 {
			w.table.Requeue(e, w.now+time.Duration(w.rng.IntN(30))*time.Millisecond, w.now)
			return
		}
		w.finish(e)
		return
	}
	if e := w.table.StartNext(fmt.Sprintf("r%d", w.rng.IntN(2)), aim, w.now); e != nil {
		w.started(e)
	}
}

func (w *walk) started(e *Entry) {
	must.LessEq(w.t, w.now, e.Due)
	must.False(w.t, e.Ended())
	must.True(w.t, w.table.IsReady(e.Partition))
	for _, other := range w.running {
		must.True(w.t, e != other)
		if e.OrderKey != "" {
			must.NotEq(w.t, e.OrderKey, other.OrderKey)
		}
	}
	w.running = append(w.running, e)
}

func (w *walk) finish(e *Entry) {
	w.table.FinishAttempt(e, rpc.State_COMPLETED, "s", w.now)
	w.ended++
	if e.OrderKey != "" {
		place := e.Epoch<<32 | e.Seq
		must.Greater(w.t, w.lastSeq[e.OrderKey], place)
		w.lastSeq[e.OrderKey] = place
	}
}

// drain owns everything and runs it: no message may be stranded.
func (w *walk) drain() {
	for _, e := range w.running {
		w.finish(e)
	}
	w.running = nil
	for id := range uint32(walkPartitions) {
		w.epoch++
		w.table.BeginOwnership(id, w.epoch)
		w.table.MarkReady(id, w.now)
	}
	w.now += time.Second
	for w.table.Queued() > 0 {
		w.table.Advance(w.now)
		e := w.table.StartNext("r0", aim, w.now)
		if e == nil {
			e = w.table.StartNext("r1", aim, w.now)
		}
		must.NotNil(w.t, e, must.Sprintf("%d messages are stranded", w.table.Queued()))
		w.finish(e)
	}
	must.Eq(w.t, w.added, w.ended)
	must.Eq(w.t, 0, w.table.LiveBytes())
}

// A message that was learnt late goes before one of its key that is under way; it must run when that one stops.
func TestLateMessageRunsAfterTheAttemptThatItFoundUnderWay(t *testing.T) {
	table := ownedTable(0)
	second := queued("second", "r", "key", 0, 0)
	second.Epoch, second.Seq = 1, 2
	table.Add(second, 0)
	must.Eq(t, second, table.StartNext("r", aim, 0))
	first := queued("first", "r", "key", 0, 0)
	first.Epoch, first.Seq = 1, 1
	table.Add(first, 0)
	must.Nil(t, table.StartNext("r", aim, 0))
	table.Requeue(second, 0, 0)
	must.Eq(t, first, table.StartNext("r", aim, 0))
	table.FinishAttempt(first, rpc.State_COMPLETED, "s", 0)
	must.Eq(t, second, table.StartNext("r", aim, 0))
}

func TestDropForgetsAMessageThatOthersHold(t *testing.T) {
	table := ownedTable(0)
	first, second := queued("first", "r", "key", 0, 0), queued("second", "r", "key", 0, 0)
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
	must.Eq(t, second, table.StartNext("r", aim, 0))
}

func TestNothingRunsBeforeItIsKnownWhatOthersHold(t *testing.T) {
	table := NewTable()
	table.BeginOwnership(0, 2)
	table.Add(queued("m", "r", "", 0, 0), 0)
	must.Nil(t, table.StartNext("r", aim, time.Second))
	table.MarkReady(0, time.Second)
	must.Eq(t, "m", table.StartNext("r", aim, time.Second).Name)
}

func TestEndTravelsWithItsAge(t *testing.T) {
	e := &Entry{Name: "m", Partition: 3, State: rpc.State_COMPLETED, Stamp: "s", Body: []byte("body"), BodyBytes: 4, EndedAt: 2 * time.Second,
		Epoch: 5, Seq: 6}
	told := NewEntry(e.CompletionMessage(9*time.Second), 30*time.Second)
	must.EqOp(t, "m", told.Name)
	must.EqOp(t, 3, told.Partition)
	must.EqOp(t, rpc.State_COMPLETED, told.State)
	must.EqOp(t, "s", told.Stamp)
	must.EqOp(t, 23*time.Second, told.EndedAt)
	must.EqOp(t, 0, told.BodyBytes)
}
