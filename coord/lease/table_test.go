package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	leaseDuration = 2 * time.Second
	margin        = 100 * time.Millisecond
	leaderStart   = 10 * time.Second
)

func newTable() *Table {
	return New(Options{Duration: leaseDuration, Margin: margin, LeaderStartedAt: leaderStart})
}

func TestLeaseExpires(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", leaderStart))
	must.EqOp(t, Alive, table.State("a", "1", leaderStart+leaseDuration-1))
	must.EqOp(t, Unknown, table.State("a", "1", leaderStart+leaseDuration))
	must.EqOp(t, Unknown, table.State("a", "1", leaderStart+leaseDuration+margin-1))
	must.EqOp(t, Ended, table.State("a", "1", leaderStart+leaseDuration+margin))
	must.ErrorIs(t, table.Renew("a", "1", leaderStart+leaseDuration+margin), ErrEnded)
	must.True(t, table.Ended("a", "1", leaderStart+leaseDuration+margin))
	must.NoError(t, table.Renew("a", "2", leaderStart+leaseDuration+margin))
	must.True(t, table.Alive("a", "2", leaderStart+leaseDuration+margin))
}

func TestRenewalWithinMarginKeepsLease(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", leaderStart))
	must.NoError(t, table.Renew("a", "1", leaderStart+leaseDuration+margin-1))
	must.True(t, table.Alive("a", "1", leaderStart+leaseDuration+margin))
}

func TestRenewalAfterEndIfAllowed(t *testing.T) {
	table := New(Options{Duration: leaseDuration, Margin: margin, AllowRenewalAfterEnd: true})
	must.NoError(t, table.Renew("a", "1", 0))
	must.True(t, table.Ended("a", "1", time.Hour))
	must.NoError(t, table.Renew("a", "1", time.Hour))
	must.True(t, table.Alive("a", "1", time.Hour))
}

// Until GraceEnd, a new leader must not regard any incarnation as ended, because an earlier leader may have
// granted it a lease.
func TestNewLeaderRespectsEarlierLeases(t *testing.T) {
	table := newTable()
	table.Restore("a", "1")
	grace := leaderStart + leaseDuration + margin
	must.EqOp(t, grace, table.GraceEnd())
	for _, node := range []string{"a", "never seen"} {
		must.EqOp(t, Unknown, table.State(node, "1", grace-1))
		must.EqOp(t, Ended, table.State(node, "1", grace))
	}
	must.EqOp(t, Unknown, table.State("a", "other", grace-1))
	must.ErrorIs(t, table.Renew("a", "1", grace), ErrEnded) // its resources may have been reassigned
	must.NoError(t, table.Renew("a", "2", grace))
	must.NoError(t, table.Renew("never seen", "1", grace))
}

func TestNewIncarnationEndsOldOne(t *testing.T) {
	table := newTable()
	table.Restore("a", "1")
	must.NoError(t, table.Renew("a", "2", leaderStart))
	must.True(t, table.Ended("a", "1", leaderStart))
	must.ErrorIs(t, table.Renew("a", "1", leaderStart), ErrSuperseded)
	must.True(t, table.Alive("a", "2", leaderStart))
}

func TestOlderIncarnationRenewsOnlyAfterEnd(t *testing.T) {
	table := New(Options{Duration: leaseDuration, Margin: margin, IsNewer: func(a, b string) bool { return a > b }})
	table.Restore("a", "2")
	must.ErrorIs(t, table.Renew("a", "1", 0), ErrSuperseded)
	must.NoError(t, table.Renew("a", "2", 1))
	must.ErrorIs(t, table.Renew("a", "1", 1+leaseDuration), ErrSuperseded)
	must.NoError(t, table.Renew("a", "1", 1+leaseDuration+margin))
	must.True(t, table.Ended("a", "2", 1+leaseDuration+margin))
}

// A delayed renewal by an earlier incarnation must not make the table regard a newer one, which it does not know
// yet, as ended.
func TestLateRenewalDoesNotEndNewerIncarnation(t *testing.T) {
	table := New(Options{Duration: leaseDuration, Margin: margin, IsNewer: func(a, b string) bool { return a > b }})
	must.NoError(t, table.Renew("a", "1", 0)) // delayed renewal of a process that has ended
	must.EqOp(t, Unknown, table.State("a", "2", 1))
	must.EqOp(t, Ended, table.State("a", "0", 1))
}

func TestReleasedLeaseHasEnded(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", leaderStart))
	table.Release("a", "0")
	must.True(t, table.Alive("a", "1", leaderStart))
	table.Release("a", "1")
	table.Release("b", "1")
	must.Eq(t, []Holder{{"a", "1", Ended}, {"b", "1", Ended}}, table.EndedHolders(leaderStart))
	must.ErrorIs(t, table.Renew("a", "1", leaderStart), ErrEnded)
}

func TestRemoveDeletesOnlyEndedNodes(t *testing.T) {
	table := newTable()
	must.NoError(t, table.Renew("a", "1", leaderStart))
	must.False(t, table.Remove("a", leaderStart+leaseDuration))
	must.True(t, table.Remove("a", leaderStart+leaseDuration+margin))
	must.False(t, table.Remove("a", leaderStart+leaseDuration+margin))
	must.True(t, table.Ended("a", "1", leaderStart+leaseDuration+margin))
	must.SliceEmpty(t, table.Holders(leaderStart+leaseDuration+margin))
}

// simulatedHolder is a member's process. It counts its lease from the time at which it sent a renewal.
type simulatedHolder struct {
	incarnation int
	validUntil  time.Duration
}

// TestNoLeaseEndsBeforeItsHolderStops renews leases over a slow network, restarts processes and changes leaders.
// When the table reports an incarnation as ended, the lease must have expired on the holder's side too. An ended
// incarnation that the table knows must not become alive again with the same leader.
func TestNoLeaseEndsBeforeItsHolderStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		newLeaderTable := func() *Table {
			return New(Options{Duration: leaseDuration, Margin: margin, LeaderStartedAt: now, IsNewer: func(a, b string) bool { return a > b }})
		}
		table := newLeaderTable()
		current := &simulatedHolder{}
		ended := map[string]bool{}
		incarnationName := func(incarnation int) string { return fmt.Sprintf("%06d", incarnation) }
		advance := func(t *rapid.T, atMost time.Duration) {
			now += time.Duration(rapid.Int64Range(0, int64(atMost)).Draw(t, "passes"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { advance(t, leaseDuration) },
			"renew": func(t *rapid.T) {
				sent := now
				advance(t, leaseDuration/2)
				if table.Renew("a", incarnationName(current.incarnation), now) == nil {
					current.validUntil = max(current.validUntil, sent+leaseDuration)
				}
			},
			"late renewal": func(t *rapid.T) {
				earlier := rapid.IntRange(0, current.incarnation).Draw(t, "incarnation")
				if earlier < current.incarnation {
					_ = table.Renew("a", incarnationName(earlier), now)
				}
			},
			"restart": func(t *rapid.T) { current = &simulatedHolder{incarnation: current.incarnation + 1} },
			"new leader": func(t *rapid.T) {
				table = newLeaderTable()
				clear(ended)
				if rapid.Bool().Draw(t, "knows it") {
					table.Restore("a", incarnationName(current.incarnation))
				}
			},
			"": func(t *rapid.T) {
				checkEndedHolder(t, table, incarnationName(current.incarnation), current, ended, now)
			},
		})
	})
}

// checkEndedHolder checks the state of the current holder, and that NextStateChange names the next change.
func checkEndedHolder(t *rapid.T, table *Table, incarnation string, current *simulatedHolder, ended map[string]bool, now time.Duration) {
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
