package cluster

import (
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/settings"
)

const (
	maxConfirmations = 16
	// confirmMargin is taken off the time in which a change must be in force, against late timers and slow callers.
	confirmMargin     = 250 * time.Millisecond
	defaultApplyBound = 3 * time.Second // where the settings name none
)

// Confirmations remember which configuration leaders named as the newest, and when they were asked. A leader that answers holds all that
// was acknowledged before it was asked, so a process that holds the version named knows of each change that was acknowledged by then.
// The zero value is empty. Note must not be called by two goroutines at once; the other methods are safe for concurrent use.
type Confirmations struct {
	list atomic.Pointer[[]confirmation] // versions and times rise; never modified in place
}

// confirmation is one answer: at the moment asked, no version above this one had been acknowledged.
type confirmation struct {
	version uint64
	asked   time.Time
}

// Note records the answer of a leader that was asked at a moment, after those noted before.
func (c *Confirmations) Record(version uint64, asked time.Time) {
	var kept []confirmation
	for _, earlier := range c.load() {
		if earlier.version < version { // any other one says no more than the new one, of an earlier moment
			kept = append(kept, earlier)
		}
	}
	kept = append(kept, confirmation{version: version, asked: asked})
	kept = kept[max(0, len(kept)-maxConfirmations):]
	c.list.Store(&kept)
}

// Within reports whether a leader that was asked less than bound ago named no newer configuration than a version.
func (c *Confirmations) ConfirmedWithin(version uint64, bound time.Duration) bool {
	list := c.load()
	for index := len(list) - 1; index >= 0; index-- {
		if list[index].version <= version {
			return time.Since(list[index].asked) < bound
		}
	}
	return false
}

func (c *Confirmations) load() []confirmation {
	list := c.list.Load()
	if list == nil {
		return nil
	}
	return *list
}

// ConfirmationTTL is how long a process may act by a configuration after it was last confirmed as the newest: a change that was acknowledged
// since must be in force once configApplyMs have passed.
func ConfirmationTTL(settings *settings.Settings) time.Duration {
	bound := time.Duration(settings.Bounds.ConfigApplyMs * float64(time.Millisecond))
	if bound <= 0 {
		bound = defaultApplyBound
	}
	return max(bound-confirmMargin, bound/2)
}

// ConfigConfirmed reports whether a leader confirmed lately that there is no newer configuration than a version. Where it did not, a
// change may have been acknowledged meanwhile that is to be in force by now: nothing may be refused for good, nor sent to a worker,
// by that version.
func (c *Client) ConfigConfirmed(version uint64) bool {
	return c.confirmations.ConfirmedWithin(version, ConfirmationTTL(c.Settings()))
}
