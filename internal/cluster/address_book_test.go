package cluster

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestFailedAddressesAreTriedInTurn(t *testing.T) {
	book := newAddressBook([]string{"a", "b", "a", "c"})
	must.Eq(t, 3, book.count())
	for _, want := range []string{"a", "b", "c", "a"} {
		must.Eq(t, want, book.candidate())
		book.recordFailure(want)
	}
	book.recordFailure("c") // not the current candidate
	must.Eq(t, "b", book.candidate())
}

func TestRedirectToFailedLeaderIsNotFollowed(t *testing.T) {
	book := newAddressBook([]string{"a", "b", "c"})
	book.recordFailure("a")
	must.True(t, book.followRedirect("b", "a")) // a single failure is not enough
	book.recordFailure("a")
	must.False(t, book.followRedirect("b", "a"))
	must.Eq(t, "c", book.candidate())
	book.recordLeader("a", 1)
	must.True(t, book.followRedirect("b", "a"))
	must.Eq(t, "a", book.candidate())
}

func TestLeaderChangeIsSignalled(t *testing.T) {
	book := newAddressBook(nil)
	must.Eq(t, "", book.candidate())
	book.recordLeader("a", 1)
	leader, moved := book.watchLeader()
	must.Eq(t, leadership{address: "a", epoch: 1}, leader)
	book.recordLeader("a", 1)
	select {
	case <-moved:
		t.Fatal("leader change signalled without a change")
	default:
	}
	book.recordLeader("b", 1)
	<-moved
	_, moved = book.watchLeader()
	book.recordLeader("b", 2)
	<-moved
}

func TestAddressBookAlwaysHasCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := rapid.SampledFrom([]string{"a", "b", "c", "d", ""})
		book := newAddressBook([]string{"a"})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				book.recordFailure(address.Draw(t, "failed"))
			case 1:
				book.followRedirect(address.Draw(t, "from"), address.Draw(t, "to"))
			case 2:
				book.add([]string{address.Draw(t, "learnt")})
			case 3:
				if leader := address.Draw(t, "leader"); leader != "" {
					book.recordLeader(leader, 1)
				}
			}
			must.NotEq(t, "", book.candidate())
		}
	})
}
