package controlplane

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
)

func TestLongestLeaseOfThoseThatMayLeadIsRecorded(t *testing.T) {
	const own, recorded = 1500 * time.Millisecond, 1700 * time.Millisecond
	recent := func(id string, disk bool, leaseMs int64) peer {
		table := newPeerTable()
		table.record(&rpc.JoinRequest{Id: id, Address: id, Disk: disk, StoreLeaseMs: leaseMs}, time.Now())
		return table.recent(time.Now())[0]
	}
	for name, c := range map[string]struct {
		recent []peer
		wanted time.Duration
	}{
		"all report the same duration":                                       {[]peer{recent("a", true, 1500), recent("b", true, 1500)}, own},
		"a voter reports a longer one":                                       {[]peer{recent("a", true, 2000), recent("b", true, 1500)}, 2 * time.Second},
		"a process that may become a voter does":                             {[]peer{recent("a", true, 1500), recent("b", true, 1500), recent("c", true, 3000)}, 3 * time.Second},
		"a process that cannot become a voter does":                          {[]peer{recent("a", true, 1500), recent("b", true, 1500), recent("c", false, 3000)}, own},
		"a voter reports none":                                               {[]peer{recent("a", true, 0), recent("b", true, 1000)}, unspecifiedStoreLease},
		"a voter sent no recent Join":                                        {[]peer{recent("a", true, 1500)}, recorded},
		"a voter reports more than is recorded, another sent no recent Join": {[]peer{recent("a", true, 2500)}, 2500 * time.Millisecond},
	} {
		must.Eq(t, c.wanted, requiredStoreLease(recorded, own, []failover.Member{{ID: "a"}, {ID: "b"}}, c.recent), must.Sprint(name))
	}
}

// A leader that could grant longer leases is limited to the recorded duration until a longer one is recorded.
func TestNoLongerLeaseIsGrantedThanIsRecorded(t *testing.T) {
	now := time.Now()
	state := &rpc.ControlState{StoreLeaseMs: 1000, Stores: []*rpc.StoreMember{{Node: "s", Incarnation: "1", Disk: "d"}}}
	led := newTerm(1, state, 3*time.Second, now)
	request := &rpc.RenewRequest{Node: "s", Incarnation: "1", Disk: "d", Role: roleStore}
	for recorded, granted := range map[int64]time.Duration{1000: time.Second, 2000: 2 * time.Second, 9000: 3 * time.Second} {
		state.StoreLeaseMs = recorded
		outcome := led.renewStore(state, request, now)
		must.True(t, outcome.granted)
		must.Eq(t, granted, outcome.duration)
	}
}

func TestShorterLeaseIsRecordedOnceEarlierOnesAreOver(t *testing.T) {
	now := time.Now()
	led := newTerm(1, &rpc.ControlState{StoreLeaseMs: 2000}, defaultStoreLease, now)
	over := now.Add(2*time.Second + leaseMargin)
	must.True(t, led.mayRecordStoreLease(2*time.Second, 3*time.Second, now))
	must.False(t, led.mayRecordStoreLease(2*time.Second, 2*time.Second, over))
	must.False(t, led.mayRecordStoreLease(2*time.Second, time.Second, over.Add(-1)))
	must.True(t, led.mayRecordStoreLease(2*time.Second, time.Second, over))
}
