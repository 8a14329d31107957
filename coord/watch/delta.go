package watch

// delta is the change of a part by one publication.
type delta struct {
	revision uint64 // of the publication
	version  string // of the new value; empty if it has none
	data     []byte // encoded change
}

// deltaChain holds the newest deltas of a part, in order. Their total length is at most that of the full value,
// because beyond that it is shorter to send the full value.
type deltaChain struct {
	baseRevision uint64 // revision of the value to which the first delta applies
	baseVersion  string // version of that value
	deltas       []delta
	bytes        int // total length of the deltas
}

// extend adds the delta of a new value, given the previous value. A new value without a delta empties the chain.
func (c *deltaChain) extend(before *value, revision uint64, part Part) {
	if len(part.Delta) == 0 || before.revision == 0 {
		*c = deltaChain{}
		return
	}
	if len(c.deltas) == 0 {
		c.baseRevision, c.baseVersion = before.revision, before.version
	}
	c.deltas = append(c.deltas, delta{revision: revision, version: part.Version, data: part.Delta})
	c.bytes += len(part.Delta)
	for c.bytes > len(part.Data) {
		c.dropOldest()
	}
}

// dropOldest removes the first delta, so that the chain starts at the value it leads to.
func (c *deltaChain) dropOldest() {
	c.baseRevision, c.baseVersion = c.deltas[0].revision, c.deltas[0].version
	c.bytes -= len(c.deltas[0].data)
	c.deltas[0] = delta{}
	c.deltas = c.deltas[1:]
}

// covers reports whether the deltas lead from the value at a revision to the newest value.
func (c *deltaChain) covers(revision uint64) bool {
	return len(c.deltas) > 0 && revision >= c.baseRevision
}

// revisionOf returns the revision of a version from which or to which a delta of the chain leads, or 0 for any
// other version.
func (c *deltaChain) revisionOf(version string) uint64 {
	if len(c.deltas) > 0 && version == c.baseVersion {
		return c.baseRevision
	}
	for _, d := range c.deltas {
		if d.version == version {
			return d.revision
		}
	}
	return 0
}

// appendSince appends the deltas published after a revision to buffer.
func (c *deltaChain) appendSince(revision uint64, buffer [][]byte) [][]byte {
	for _, d := range c.deltas {
		if d.revision > revision {
			buffer = append(buffer, d.data)
		}
	}
	return buffer
}
