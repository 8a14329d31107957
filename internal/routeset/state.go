package routeset

import (
	"context"
	"fmt"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// State is the watch that a held client's successor goes on with; nothing where none waits.
type State struct {
	Watch *WatchState `cbor:",omitempty"`
}

// WatchState is a call that waits for news, or whose answer has come in part.
type WatchState struct {
	File  int // place of its descriptor
	Conn  hold.ConnState
	From  core.Source
	Since int64
}

// Export tells which watch waits. The gate must be held.
func (c *Client) Export(files *hold.Files) (State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch == nil {
		return State{}, nil
	}
	file, err := files.Add(c.watch.link)
	if err != nil {
		return State{}, nil // it has just been closed, and is asked for anew
	}
	return State{&WatchState{File: file, Conn: c.watch.link.Conn.Export(), From: c.watch.from, Since: c.watch.since}}, nil
}

// Watching tells whether a watch runs, or was taken up.
func (c *Client) Watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stop != nil
}

// Import takes a watch up, if there was one. The gate must be held; it goes on when that is let go.
// Danger: news that had been written to the old connection would be lost with it, and they count as told.
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
