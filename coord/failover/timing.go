package failover

import (
	"time"

	"github.com/pkg/errors"
)

// Timing holds the durations of the protocol. Members may differ in Lease and Margin; all other fields must be the same at
// every member. A field that is zero has its default value.
type Timing struct {
	Lease           time.Duration // duration of a grant, counted from the arrival of the heartbeat; default 700 ms
	LongestLease    time.Duration // longest Lease of any member, assumed for leaders that don't report theirs; default Lease
	Margin          time.Duration // how long before the end of its grants the leader stops; must cover the drift of clocks; default 120 ms
	Heartbeat       time.Duration // interval between heartbeats; default 175 ms
	ElectionJitter  time.Duration // upper bound of the random delay before a campaign; default 150 ms
	CampaignTimeout time.Duration // a campaign without a majority is restarted after this time; default 250 ms
	ContentsTimeout time.Duration // timeout of a transfer of contents, doubled after each failure; default 2 s
}

// Default values of Timing.
const (
	defaultLease           = 700 * time.Millisecond
	defaultMargin          = 120 * time.Millisecond
	defaultHeartbeat       = 175 * time.Millisecond
	defaultElectionJitter  = 150 * time.Millisecond
	defaultCampaignTimeout = 250 * time.Millisecond
	defaultContentsTimeout = 2 * time.Second
)

func (timing Timing) withDefaults() Timing {
	setDefault(&timing.Lease, defaultLease)
	setDefault(&timing.LongestLease, timing.Lease)
	setDefault(&timing.Margin, defaultMargin)
	setDefault(&timing.Heartbeat, defaultHeartbeat)
	setDefault(&timing.ElectionJitter, defaultElectionJitter)
	setDefault(&timing.CampaignTimeout, defaultCampaignTimeout)
	setDefault(&timing.ContentsTimeout, defaultContentsTimeout)
	return timing
}

// validate returns an error for durations with which no leader could renew its lease in time, or with which two leaders
// could serve at once. The defaults must have been set.
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
