package watch

// delta is what one publication changed in a part.
type delta struct {
	revision uint64 // of that publication
	data     []byte
}

// deltaChain holds the newest deltas of a part. Together they are no longer than its whole value, since that is sent instead.
type deltaChain struct {
	base   uint64 // revision of the value that the first delta builds on
	deltas []delta
	bytes  int
}

// extend adds the delta of a new value, given the revision of the value before it. A value without one ends the chain.
func (c *deltaChain) extend(before, revision uint64, part Part) {
	if len(part.Delta) == 0 || before == 0 {
		*c = deltaChain{}
		return
	}
	if len(c.deltas) == 0 {
		c.base = before
	}
	c.deltas = append(c.deltas, delta{revision: revision, data: part.Delta})
	c.bytes += len(part.Delta)
	for c.bytes > len(part.Data) {
		c.dropFirst()
	}
}

func (c *deltaChain) dropFirst() {
	c.base = c.deltas[0].revision
	c.bytes -= len(c.deltas[0].data)
	c.deltas[0] = delta{}
	c.deltas = c.deltas[1:]
}

// reach reports whether the deltas lead from what a subscriber holds to the newest value.
func (c *deltaChain) reach(revision uint64) bool {
	return len(c.deltas) > 0 && revision >= c.base
}

// appendSince appends the deltas published after a revision.
func (c *deltaChain) appendSince(revision uint64, buffer [][]byte) [][]byte {
	for _, one := range c.deltas {
		if one.revision > revision {
			buffer = append(buffer, one.data)
		}
	}
	return buffer
}
