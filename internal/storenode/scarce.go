package storenode

import "sync/atomic"

// scarceCopies tells of how many messages too few copies may be kept, as the control plane is told.
type scarceCopies struct {
	lacking     uint64 // messages of owned partitions with too few copies, and partitions of which that isn't known
	unconfirmed uint64 // copies here that dispatchers wrote round their owners, which may not know them
	placedUnder uint64 // lowest table of owners under which a dispatcher began to place one of those; 0 where that isn't known
}

// scarceCount holds the newest scarceCopies. The owner goroutine alone changes it; any may read it.
type scarceCount struct {
	newest atomic.Pointer[scarceCopies]
}

// read returns the newest count.
func (c *scarceCount) read() scarceCopies {
	counted := c.newest.Load()
	if counted == nil {
		return scarceCopies{}
	}
	return *counted
}

// Load returns the number of all messages that are counted.
func (c *scarceCount) Load() uint64 {
	counted := c.read()
	return counted.lacking + counted.unconfirmed
}

func (c *scarceCount) store(counted scarceCopies) { c.newest.Store(&counted) }

// addLacking counts more messages or partitions, until upkeep has counted all.
func (c *scarceCount) addLacking(more uint64) {
	counted := c.read()
	counted.lacking += more
	c.store(counted)
}

// addUnconfirmed counts a copy that a dispatcher began to place under a table, until upkeep has counted all.
func (c *scarceCount) addUnconfirmed(placedUnder uint64) {
	counted := c.read()
	counted.addUnconfirmed(placedUnder)
	c.store(counted)
}

func (s *scarceCopies) addUnconfirmed(placedUnder uint64) {
	if s.unconfirmed == 0 || placedUnder < s.placedUnder {
		s.placedUnder = placedUnder
	}
	s.unconfirmed++
}
