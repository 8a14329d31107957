package cluster

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestFailedAddressesAreLeftInTurn(t *testing.T) {
	book := newAddressBook([]string{"a", "b", "a", "c"})
	must.Eq(t, 3, book.count())
	for _, want := range []string{"a", "b", "c", "a"} {
		must.Eq(t, want, book.candidate())
		book.fail(want)
	}
	book.fail("c") // one that is not asked now
	must.Eq(t, "b", book.candidate())
}

func TestHintsToDeadLeadersAreNotFollowed(t *testing.T) {
	book := newAddressBook([]string{"a", "b", "c"})
	book.fail("a")
	must.True(t, book.redirect("b", "a")) // one failure may be chance
	book.fail("a")
	must.False(t, book.redirect("b", "a"))
	must.Eq(t, "c", book.candidate())
	book.confirm("a", 1)
	must.True(t, book.redirect("b", "a"))
	must.Eq(t, "a", book.candidate())
}

func TestMovedIsClosedWhenAnotherLeads(t *testing.T) {
	book := newAddressBook(nil)
	must.Eq(t, "", book.candidate())
	book.confirm("a", 1)
	leader, moved := book.leaderMoved()
	must.Eq(t, leadership{address: "a", epoch: 1}, leader)
	book.confirm("a", 1)
	select {
	case <-moved:
		t.Fatal("moved without another leader")
	default:
	}
	book.confirm("b", 1)
	<-moved
	_, moved = book.leaderMoved()
	book.confirm("b", 2)
	<-moved
}

func TestBookKeepsACandidateThroughAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := rapid.SampledFrom([]string{"a", "b", "c", "d", ""})
		book := newAddressBook([]string{"a"})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				book.fail(address.Draw(t, "failed"))
			case 1:
				book.redirect(address.Draw(t, "from"), address.Draw(t, "to"))
			case 2:
				book.learn([]string{address.Draw(t, "learnt")})
			case 3:
				if leader := address.Draw(t, "leader"); leader != "" {
					book.confirm(leader, 1)
				}
			}
			must.NotEq(t, "", book.candidate())
		}
	})
}
