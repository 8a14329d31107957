package localrun

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var zero = time.Unix(1000, 0)

func at(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }

func ran(from, to, status int) *Attempt {
	return &Attempt{Started: at(from), Ended: at(to), Status: status, Stamp: "s"}
}

// ledgerOf returns a ledger that holds messages as they were at its end.
func ledgerOf(messages ...*Message) *Ledger {
	ledger := NewLedger()
	ledger.order = messages
	return ledger
}

func keyed(id string, sent, answered int, runs ...*Attempt) *Message {
	return &Message{ID: id, Kind: Keyed, Key: "k", Sent: at(sent), Answered: at(answered), Fate: Accepted, Runs: runs}
}

func TestOrderIsCheckedAgainstTheEnd(t *testing.T) {
	first := keyed("a", 0, 10, ran(20, 40, statusFailed), ran(60, 80, statusSuccess))
	must.Len(t, 0, ledgerOf(first, keyed("b", 15, 25, ran(80, 90, statusSuccess))).Check())
	must.Len(t, 1, ledgerOf(first, keyed("b", 15, 25, ran(50, 55, statusSuccess))).Check())
	must.Len(t, 0, ledgerOf(first, keyed("b", 5, 25, ran(50, 55, statusSuccess))).Check()) // sent before the other's 202
}

func TestAThirdFailureEndsAMessage(t *testing.T) {
	first := keyed("a", 0, 10, ran(20, 30, statusFailed), ran(40, 50, statusFailed), ran(60, 70, statusFailed))
	must.Len(t, 0, ledgerOf(first, keyed("b", 15, 25, ran(70, 80, statusSuccess))).Check())
	must.Len(t, 1, ledgerOf(first, keyed("b", 15, 25, ran(69, 80, statusSuccess))).Check())
}

func TestARunThatWasCutEndsNothing(t *testing.T) {
	first := keyed("a", 0, 10, ran(20, 30, 0))
	must.Len(t, 1, ledgerOf(first, keyed("b", 15, 25, ran(70, 80, statusSuccess))).Check())
}

func TestARepeatNeedsTrouble(t *testing.T) {
	ledger := ledgerOf(&Message{ID: "a", Kind: Plain, Sent: at(0), Fate: Accepted, Runs: []*Attempt{ran(10, 20, statusSuccess), ran(90, 95, statusSuccess)}})
	must.Len(t, 1, ledger.Check())
	ledger.troubles = []Trouble{{At: at(50)}}
	must.Len(t, 0, ledger.Check())
	ledger.troubles = []Trouble{{At: at(91)}}
	must.Len(t, 1, ledger.Check())
}

func TestAPromiseIsKept(t *testing.T) {
	must.Len(t, 1, ledgerOf(&Message{ID: "a", Sent: at(0), Fate: Promised, Runs: []*Attempt{ran(10, 20, statusFailed)}}).Check())
	must.Len(t, 0, ledgerOf(&Message{ID: "a", Sent: at(0), Fate: Unknown, Runs: []*Attempt{ran(10, 20, statusFailed)}}).Check())
}

func TestADelayIsKept(t *testing.T) {
	early := &Message{ID: "a", Kind: Delayed, Delay: time.Second, Sent: at(0), Fate: Accepted, Runs: []*Attempt{ran(899, 950, statusSuccess)}}
	must.Len(t, 1, ledgerOf(early).Check())
	early.Runs[0].Started = at(901)
	must.Len(t, 0, ledgerOf(early).Check())
}

func TestARateIsCountedInEveryWindow(t *testing.T) {
	ledger := NewLedger()
	for i := range 115 { // as many as one window may hold
		ledger.arrivals = append(ledger.arrivals, at(i))
	}
	must.Len(t, 0, ledger.Check())
	ledger.arrivals = append(ledger.arrivals, at(5000))
	must.Len(t, 1, ledger.Check())
	ledger.arrivals[115] = at(5001)
	must.Len(t, 0, ledger.Check())
}

func TestAnUnknownMessageIsSeen(t *testing.T) {
	ledger := NewLedger()
	message := &Message{ID: "a", Kind: Plain, Body: []byte("x")}
	ledger.Send(message)
	_, run := ledger.Start("a", prefixFree+"a", "", []byte("x"))
	must.NotNil(t, run)
	_, run = ledger.Start("a", prefixFree+"a", "", []byte("y"))
	must.Nil(t, run)
	must.Len(t, 1, ledger.Check())
}

func TestAnswersFollowTheWish(t *testing.T) {
	ledger := NewLedger()
	message := &Message{ID: "a", Wish: FailOnce}
	must.EqOp(t, statusFailed, ledger.answerOf(message))
	message.Runs = []*Attempt{ran(0, 1, statusFailed)}
	must.EqOp(t, statusSuccess, ledger.answerOf(message))
	message.Wish = FailAlways
	must.EqOp(t, statusFailed, ledger.answerOf(message))
	message.Wish = Refuse
	must.EqOp(t, statusNever, ledger.answerOf(message))
}

func TestStatusesThatPromise(t *testing.T) {
	must.EqOp(t, Accepted, fateOf(202))
	must.EqOp(t, Promised, fateOf(503))
	must.EqOp(t, Promised, fateOf(429))
	must.EqOp(t, Unknown, fateOf(504))
	must.EqOp(t, Other, fateOf(404))
}
