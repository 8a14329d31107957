package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	length = 2 * time.Second
	margin = 100 * time.Millisecond
	begin  = 10 * time.Second
)

func newTable() *Table {
	return New(Options{Duration: length, Margin: margin, LeaderStartedAt: begin})
}

func TestLeaseRunsOut(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", begin))
	must.EqOp(t, Alive, table.State("a", "1", begin+length-1))
	must.EqOp(t, Unknown, table.State("a", "1", begin+length))
	must.EqOp(t, Unknown, table.State("a", "1", begin+length+margin-1))
	must.EqOp(t, Ended, table.State("a", "1", begin+length+margin))
	must.ErrorIs(t, table.Renew("a", "1", begin+length+margin), ErrEnded)
	must.True(t, table.Ended("a", "1", begin+length+margin))
	must.NoError(t, table.Renew("a", "2", begin+length+margin))
	must.True(t, table.Alive("a", "2", begin+length+margin))
}

func TestRenewalWithinMarginKeepsLease(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", begin))
	must.NoError(t, table.Renew("a", "1", begin+length+margin-1))
	must.True(t, table.Alive("a", "1", begin+length+margin))
}

func TestReusableIncarnationRenewsAfterItsEnd(t *testing.T) {
	table := New(Options{Duration: length, Margin: margin, AllowRenewalAfterEnd: true})
	must.NoError(t, table.Renew("a", "1", 0))
	must.True(t, table.Ended("a", "1", time.Hour))
	must.NoError(t, table.Renew("a", "1", time.Hour))
	must.True(t, table.Alive("a", "1", time.Hour))
}

func TestNewLeaderHoldsEarlierLeases(t *testing.T) {
	table := newTable()
	table.Restore("a", "1")
	grace := begin + length + margin
	must.EqOp(t, grace, table.GraceEnd())
	for _, node := range []string{"a", "never seen"} {
		must.EqOp(t, Unknown, table.State(node, "1", grace-1))
		must.EqOp(t, Ended, table.State(node, "1", grace))
	}
	must.EqOp(t, Unknown, table.State("a", "other", grace-1))
	must.ErrorIs(t, table.Renew("a", "1", grace), ErrEnded) // what it held may be given away
	must.NoError(t, table.Renew("a", "2", grace))
	must.NoError(t, table.Renew("never seen", "1", grace))
}

func TestNewIncarnationEndsOldOne(t *testing.T) {
	table := newTable()
	table.Restore("a", "1")
	must.NoError(t, table.Renew("a", "2", begin))
	must.True(t, table.Ended("a", "1", begin))
	must.ErrorIs(t, table.Renew("a", "1", begin), ErrSuperseded)
	must.True(t, table.Alive("a", "2", begin))
}

func TestOlderIncarnationWaitsForEnd(t *testing.T) {
	table := New(Options{Duration: length, Margin: margin, IsNewer: func(a, b string) bool { return a > b }})
	table.Restore("a", "2")
	must.ErrorIs(t, table.Renew("a", "1", 0), ErrSuperseded)
	must.NoError(t, table.Renew("a", "2", 1))
	must.ErrorIs(t, table.Renew("a", "1", 1+length), ErrSuperseded)
	must.NoError(t, table.Renew("a", "1", 1+length+margin))
	must.True(t, table.Ended("a", "2", 1+length+margin))
}

func TestLateRenewalDoesNotEndNewerIncarnation(t *testing.T) {
	table := New(Options{Duration: length, Margin: margin, IsNewer: func(a, b string) bool { return a > b }})
	must.NoError(t, table.Renew("a", "1", 0)) // of a process that has ended since
	must.EqOp(t, Unknown, table.State("a", "2", 1))
	must.EqOp(t, Ended, table.State("a", "0", 1))
}

func TestReleasedLeaseHasEnded(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", begin))
	table.Release("a", "0")
	must.True(t, table.Alive("a", "1", begin))
	table.Release("a", "1")
	table.Release("b", "1")
	must.Eq(t, []Holder{{"a", "1", Ended}, {"b", "1", Ended}}, table.EndedHolders(begin))
	must.ErrorIs(t, table.Renew("a", "1", begin), ErrEnded)
}

func TestForgetRemovesOnlyEndedNodes(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", begin))
	must.False(t, table.Remove("a", begin+length))
	must.True(t, table.Remove("a", begin+length+margin))
	must.False(t, table.Remove("a", begin+length+margin))
	must.True(t, table.Ended("a", "1", begin+length+margin))
	must.SliceEmpty(t, table.Holders(begin+length+margin))
}

// holder is a simulated process, which counts its lease from the moment it sent a renewal.
type holder struct {
	incarnation int
	validUntil  time.Duration
}

// TestNoLeaseEndsBeforeItsHolderStops renews over a slow network, restarts processes and changes leaders. An
// incarnation that the leader counts as ended must have stopped, and if the leader was told of it, it must stay
// ended with that leader.
func TestNoLeaseEndsBeforeItsHolderStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		lead := func() *Table {
			return New(Options{Duration: length, Margin: margin, LeaderStartedAt: now, IsNewer: func(a, b string) bool { return a > b }})
		}
		table := lead()
		current := &holder{}
		ended := map[string]bool{}
		name := func(incarnation int) string { return fmt.Sprintf("%06d", incarnation) }
		advance := func(t *rapid.T, atMost time.Duration) {
			now += time.Duration(rapid.Int64Range(0, int64(atMost)).Draw(t, "passes"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { advance(t, length) },
			"renew": func(t *rapid.T) {
				sent := now
				advance(t, length/2)
				if table.Renew("a", name(current.incarnation), now) == nil {
					current.validUntil = max(current.validUntil, sent+length)
				}
			},
			"late renewal": func(t *rapid.T) {
				earlier := rapid.IntRange(0, current.incarnation).Draw(t, "incarnation")
				if earlier < current.incarnation {
					_ = table.Renew("a", name(earlier), now)
				}
			},
			"restart": func(t *rapid.T) { current = &holder{incarnation: current.incarnation + 1} },
			"new leader": func(t *rapid.T) {
				table = lead()
				clear(ended)
				if rapid.Bool().Draw(t, "knows it") {
					table.Restore("a", name(current.incarnation))
				}
			},
			"": func(t *rapid.T) {
				checkEnds(t, table, name(current.incarnation), current, ended, now)
			},
		})
	})
}

func checkEnds(t *rapid.T, table *Table, incarnation string, current *holder, ended map[string]bool, now time.Duration) {
	if ended[incarnation] {
		must.False(t, table.Alive("a", incarnation, now))
	}
	if table.Ended("a", incarnation, now) {
		must.LessEq(t, now, current.validUntil)
		ended[incarnation] = table.grants["a"] != nil && table.grants["a"].incarnation == incarnation
	}
	if at, found := table.NextStateChange(now); found {
		must.Greater(t, now, at)
		must.Eq(t, table.Holders(now), table.Holders(at-1))
		must.NotEq(t, table.Holders(now), table.Holders(at))
	}
}
