package cluster

import (
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/settings"
)

const (
	maxConfirmations = 16
	// confirmMargin is subtracted from configApplyMs, as a margin for late timers and slow callers.
	confirmMargin          = 250 * time.Millisecond
	defaultConfigApplyTime = 3 * time.Second // if the settings give no configApplyMs
)

// Confirmations record which configuration version leaders named as the newest, and when the leaders were asked. A
// leader that responds knows every configuration acknowledged before it was asked. So a process that has the named
// version knows every change acknowledged up to then.
//
// The zero value is empty. Record must not be called concurrently with itself; the other methods are safe for
// concurrent use.
type Confirmations struct {
	list atomic.Pointer[[]confirmation] // ordered by rising version and time; never modified in place
}

// confirmation is the response of a leader: when it was asked, no version above this one had been acknowledged.
type confirmation struct {
	version     uint64
	requestedAt time.Time
}

// Record adds the response of a leader that was asked at the given time. Times must not decrease.
func (c *Confirmations) Record(version uint64, requestedAt time.Time) {
	var list []confirmation
	for _, earlier := range c.load() {
		if earlier.version < version { // an equal or higher version is implied by the new, later confirmation
			list = append(list, earlier)
		}
	}
	list = append(list, confirmation{version: version, requestedAt: requestedAt})
	list = list[max(0, len(list)-maxConfirmations):]
	c.list.Store(&list)
}

// ConfirmedWithin reports whether a leader that was asked less than bound ago named no newer version than the given
// one.
func (c *Confirmations) ConfirmedWithin(version uint64, bound time.Duration) bool {
	list := c.load()
	for index := len(list) - 1; index >= 0; index-- {
		if list[index].version <= version {
			return time.Since(list[index].requestedAt) < bound
		}
	}
	return false
}

// Newest returns the version that the latest response named, and when that leader was asked; a zero time before the first response.
func (c *Confirmations) Newest() (version uint64, requestedAt time.Time) {
	list := c.load()
	if len(list) == 0 {
		return 0, time.Time{}
	}
	newest := list[len(list)-1]
	return newest.version, newest.requestedAt
}

func (c *Confirmations) load() []confirmation {
	list := c.list.Load()
	if list == nil {
		return nil
	}
	return *list
}

// ConfirmationTTL returns how long a process may act on a configuration after its last confirmation as the newest. A
// change acknowledged since then must be in force once configApplyMs have passed.
func ConfirmationTTL(settings *settings.Settings) time.Duration {
	bound := time.Duration(settings.Bounds.ConfigApplyMs * float64(time.Millisecond))
	if bound <= 0 {
		bound = defaultConfigApplyTime
	}
	return max(bound-confirmMargin, bound/2)
}

// ConfigConfirmed reports whether a leader has confirmed within ConfirmationTTL that no configuration is newer than
// the given version. Without a confirmation, a change may have been acknowledged that must already be in force, so
// that version must not be used to reject a request permanently or to send a message to a worker.
func (c *Client) ConfigConfirmed(version uint64) bool {
	return c.confirmations.ConfirmedWithin(version, ConfirmationTTL(c.Settings()))
}

// NewestConfig returns the configuration version that a leader last named as the newest, and when it was asked; a zero time before the first
// response of a leader.
func (c *Client) NewestConfig() (version uint64, requestedAt time.Time) {
	return c.confirmations.Newest()
}
