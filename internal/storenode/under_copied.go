package storenode

import "sync/atomic"

// underCopiedCount counts the messages that may have too few copies, as reported to the control plane.
type underCopiedCount struct {
	missing     uint64 // messages of owned partitions with too few copies, and owned partitions for which that is unknown
	unconfirmed uint64 // copies here that dispatchers wrote bypassing the owners, which may not know them
	placedUnder uint64 // lowest map version under which a dispatcher started to place one of the unconfirmed copies; 0 if unknown
}

// underCopiedGauge holds the newest underCopiedCount. Only the event loop goroutine changes it; any goroutine may read it.
type underCopiedGauge struct {
	current atomic.Pointer[underCopiedCount]
}

// snapshot returns the newest count.
func (c *underCopiedGauge) snapshot() underCopiedCount {
	count := c.current.Load()
	if count == nil {
		return underCopiedCount{}
	}
	return *count
}

// Load returns the total of the newest count.
func (c *underCopiedGauge) Load() uint64 {
	count := c.snapshot()
	return count.missing + count.unconfirmed
}

// set replaces the count.
func (c *underCopiedGauge) set(count underCopiedCount) { c.current.Store(&count) }

// addMissing adds to the count until the next upkeep run replaces it.
func (c *underCopiedGauge) addMissing(more uint64) {
	count := c.snapshot()
	count.missing += more
	c.set(count)
}

// addUnconfirmed counts a copy that a dispatcher started to place under the given map version, until the next upkeep run replaces the
// count.
func (c *underCopiedGauge) addUnconfirmed(placedUnder uint64) {
	count := c.snapshot()
	count.addUnconfirmed(placedUnder)
	c.set(count)
}

// addUnconfirmed counts a copy that a dispatcher started to place under the given map version, 0 if unknown.
func (s *underCopiedCount) addUnconfirmed(placedUnder uint64) {
	if s.unconfirmed == 0 || placedUnder < s.placedUnder {
		s.placedUnder = placedUnder
	}
	s.unconfirmed++
}
