package failover

import (
	"time"

	"github.com/pkg/errors"
)

// Timing holds the durations of the protocol. Members may differ in Lease and Margin; the others must be the same. The zero value
// of a field stands for its default.
type Timing struct {
	Lease           time.Duration // a grant, from the moment a heartbeat arrived; default 700 ms
	LongestLease    time.Duration // the longest Lease of any member, and what those count on that do not tell theirs; default Lease
	Margin          time.Duration // by how much the leader stops earlier; bounds the drift of clocks; default 120 ms
	Heartbeat       time.Duration // between heartbeats; default 175 ms
	ElectionJitter  time.Duration // bound of the random wait before a campaign; default 150 ms
	CampaignTimeout time.Duration // a campaign without a majority begins anew after it; default 250 ms
	ContentsTimeout time.Duration // contents not answered are sent again after it, doubled after each failure; default 2 s
}

// Defaults of Timing.
const (
	defaultLease           = 700 * time.Millisecond
	defaultMargin          = 120 * time.Millisecond
	defaultHeartbeat       = 175 * time.Millisecond
	defaultElectionSpread  = 150 * time.Millisecond
	defaultCampaignTimeout = 250 * time.Millisecond
	defaultContentsTimeout = 2 * time.Second
)

func (timing Timing) withDefaults() Timing {
	setDefault(&timing.Lease, defaultLease)
	setDefault(&timing.LongestLease, timing.Lease)
	setDefault(&timing.Margin, defaultMargin)
	setDefault(&timing.Heartbeat, defaultHeartbeat)
	setDefault(&timing.ElectionJitter, defaultElectionSpread)
	setDefault(&timing.CampaignTimeout, defaultCampaignTimeout)
	setDefault(&timing.ContentsTimeout, defaultContentsTimeout)
	return timing
}

// validate reports durations with which no leader could keep its lease, or with which two leaders could serve at once. Defaults must have
// been filled in.
func (timing Timing) validate() error {
	switch {
	case timing.Lease > timing.LongestLease:
		return errors.Errorf("failover: a lease of %s is longer than the longest of any member, %s: raise LongestLease on all members first",
			timing.Lease, timing.LongestLease)
	case timing.Margin < 0 || timing.Margin >= timing.Lease:
		return errors.Errorf("failover: a margin of %s leaves nothing of a lease of %s: shorten Margin", timing.Margin, timing.Lease)
	case timing.Heartbeat <= 0 || timing.Heartbeat >= timing.Lease-timing.Margin:
		return errors.Errorf("failover: heartbeats every %s don't renew a lease of %s less %s in time: shorten Heartbeat",
			timing.Heartbeat, timing.Lease, timing.Margin)
	}
	return nil
}

func setDefault(duration *time.Duration, value time.Duration) {
	if *duration == 0 {
		*duration = value
	}
}
