package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

// watchPath is where control processes serve the stream of updates.
const watchPath = "/internal/watch"

// followLoop follows the leader's stream, and connects anew when it ends or another process leads.
func (c *Client) followLoop(ctx context.Context) {
	client := &watch.Client{HTTP: c.options.streamClient()}
	defer client.HTTP.CloseIdleConnections()
	for ctx.Err() == nil {
		_, moved := c.book.leaderMoved()
		address := c.book.candidate()
		if address != "" && c.follow(ctx, client, address) {
			continue
		}
		awaitLeader(ctx, moved)
	}
}

// awaitLeader waits before the next try of a stream: until a renewal finds a leader, or for noCandidateDelay.
func awaitLeader(ctx context.Context, moved <-chan struct{}) {
	timer := time.NewTimer(noCandidateDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-moved:
	case <-timer.C:
	}
}

// follow reads the stream of one process until it ends. It reports whether to connect anew at once.
func (c *Client) follow(ctx context.Context, client *watch.Client, address string) bool {
	following, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.cancelWhenMoved(following, cancel, address)
	defer stop()
	err := client.Follow(following, "http://"+address+watchPath+c.streamQuery(), c.onFrame)
	if ctx.Err() != nil || following.Err() != nil {
		return true
	}
	refusal := &watch.NotStreamingError{}
	if errors.As(err, &refusal) {
		return c.book.redirect(address, refusal.Leader)
	}
	c.options.Log.V(1).Info("stream of updates ended", "address", address, "cause", err.Error())
	c.book.fail(address)
	return false
}

// firstFrameWithin is how long a stream may take to tell of its leader's epoch. A new leader sends to all at once.
const firstFrameWithin = 600 * time.Millisecond

// cancelWhenMoved ends a stream once a renewal shows that it will carry nothing more. The function returned ends the wait.
func (c *Client) cancelWhenMoved(ctx context.Context, cancel context.CancelFunc, address string) func() {
	ended := make(chan struct{})
	begun, _ := c.book.leaderMoved()
	firstFrame := time.NewTimer(firstFrameWithin)
	go func() {
		defer close(ended)
		defer firstFrame.Stop()
		settled := false // the stream has had the time to tell
		for {
			leader, moved := c.book.leaderMoved()
			if c.movedFrom(address, leader) || settled && c.outlived(begun, leader) {
				cancel()
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-moved:
			case <-firstFrame.C:
				settled = true
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// movedFrom reports whether another address than that of the stream leads.
func (c *Client) movedFrom(address string, leader leadership) bool {
	return leader.address != "" && leader.address != address && c.book.candidate() != address
}

// outlived reports whether a later epoch has begun than that of the stream, and the stream has not told of it. A process that lost power
// and leads again at its address leaves its former streams silent.
func (c *Client) outlived(begun, leader leadership) bool {
	return leader.epoch > begun.epoch && leader.epoch > c.view.Load().LeaderEpoch
}

// streamQuery tells the control process what this one does without and what it holds, and that changes may come as such.
func (c *Client) streamQuery() string {
	subscription := watch.Subscription{AcceptDeltas: true, Urgent: c.options.Role == RoleStore}
	if !c.wantsWhole.Swap(false) {
		subscription.HeldVersions = c.view.Load().heldVersions()
	}
	if c.options.Role == RoleDispatcher {
		subscription.ExcludedParts = []int{rpc.StreamWorkers}
	}
	return subscription.Query()
}

// onFrame applies one frame of the stream. An empty one is a sign of life.
func (c *Client) onFrame(frame []byte) error {
	if len(frame) == 0 {
		return nil
	}
	update, err := rpc.DecodeView(frame)
	if err != nil {
		return err
	}
	return c.apply(update)
}

// apply puts the newer parts of an update in force. It refuses an update of a leader that was replaced.
func (c *Client) apply(update *rpc.View) error {
	c.applying.Lock()
	defer c.applying.Unlock()
	held := c.view.Load()
	if update.LeaderEpoch < held.LeaderEpoch {
		return &StaleLeaderError{Epoch: update.LeaderEpoch, Seen: held.LeaderEpoch}
	}
	c.book.learn(update.ControlAddresses)
	next, changed, err := held.merge(update)
	if err != nil {
		c.options.Log.Error(err, "a part of an update was not applied")
	}
	if changed || next.LeaderEpoch != held.LeaderEpoch {
		c.view.Store(next)
		close(held.superseded)
	}
	if misfits(err) {
		c.wantsWhole.Store(true)
		return err
	}
	return nil
}

// misfits reports whether an error tells of a change that does not fit what is held.
func misfits(err error) bool {
	config, workers := (*ConfigChangeError)(nil), (*workerlist.MismatchError)(nil)
	return errors.As(err, &config) || errors.As(err, &workers)
}
