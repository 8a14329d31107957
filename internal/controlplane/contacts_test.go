package controlplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func seenAt(at time.Time, addresses ...string) []peer {
	var peers []peer
	for _, address := range addresses {
		peers = append(peers, peer{address: address, seenAt: at})
	}
	return peers
}

func TestContactsAreKeptThroughSilenceAndForgottenAfterLong(t *testing.T) {
	start := time.Now()
	last := make(map[string]time.Time)
	known := planContacts([]string{"a", "b"}, seenAt(start, "b", "c"), last, start)
	must.Eq(t, []string{"a", "b", "c"}, known)
	almost := start.Add(contactRetention - time.Nanosecond)
	must.Eq(t, known, planContacts(known, seenAt(almost, "c"), last, almost))
	must.Eq(t, []string{"c"}, planContacts(known, nil, last, start.Add(contactRetention)))
}

func TestContactsSilentForLongestAreDroppedBeyondTheBound(t *testing.T) {
	start := time.Now()
	last := make(map[string]time.Time)
	var known []string
	for number := range maxContacts + 2 {
		at := start.Add(time.Duration(number) * time.Second)
		known = planContacts(known, seenAt(at, fmt.Sprint(number)), last, at)
	}
	must.SliceLen(t, maxContacts, known)
	must.EqOp(t, "2", known[0])
	must.EqOp(t, fmt.Sprint(maxContacts+1), known[maxContacts-1])
}
