package routeset

import (
	"context"
	"fmt"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// State is the state handed over to a successor. Watch is nil if no call is pending.
type State struct {
	Watch *WatchState `cbor:",omitempty"`
}

// WatchState is a pending call of a watch, whose response may have been received in part.
type WatchState struct {
	File  int // index of its descriptor
	Conn  hold.ConnState
	From  core.Source
	Since int64 // version after which changes are requested
}

// Export returns the pending watch. The gate must be held.
func (c *Client) Export(files *hold.Files) (State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch == nil {
		return State{}, nil
	}
	file, err := files.Add(c.watch.link)
	if err != nil {
		return State{}, nil // it was just closed; the watch will be opened again
	}
	return State{&WatchState{File: file, Conn: c.watch.link.Conn.Export(), From: c.watch.from, Since: c.watch.since}}, nil
}

// Watching reports whether a watch is running, started here or imported.
func (c *Client) Watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stop != nil
}

// Import resumes a watch, if there is one. The gate must be held; the watch continues when it is released. Without this, updates
// already sent on the old connection would be lost, although discovery counts them as delivered.
func (c *Client) Import(st State, files *hold.Received) error {
	if st.Watch == nil {
		return nil
	}
	hc, err := files.Conn(st.Watch.File, st.Watch.Conn)
	if err != nil {
		return fmt.Errorf("routeset: %w", err)
	}
	link := newConn(hc)
	ctx, stop := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() { link.Close() })
	c.mu.Lock()
	c.stop = stop
	c.mu.Unlock()
	c.gate.Go(func() {
		var err error
		if rest := st.Watch.Conn.Rest; len(rest) > 0 {
			_, err = link.Write(rest)
		}
		c.follow(ctx, link, err, st.Watch.From, st.Watch.Since)
	})
	return nil
}
