package cluster

import (
	"context"
	"sync"
)

// callbackList holds those that wait for new views.
type callbackList struct {
	mutex sync.Mutex
	list  []func(*View)
}

func (l *callbackList) add(callback func(*View)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list = append(l.list, callback)
}

func (l *callbackList) call(view *View) {
	l.mutex.Lock()
	list := l.list
	l.mutex.Unlock()
	for _, callback := range list {
		callback(view)
	}
}

// OnChange has a callback run with each new view; views that were superseded meanwhile may be left out. All
// callbacks run on one goroutine and must return soon: a version is acknowledged after they have.
func (c *Client) OnChange(callback func(*View)) { c.callbacks.add(callback) }

// notifyLoop runs the callbacks with each new view, and has it acknowledged afterwards.
func (c *Client) notifyLoop(ctx context.Context) {
	for {
		seen := c.inForce.Load()
		select {
		case <-ctx.Done():
			return
		case <-seen.Superseded():
		}
		view := c.View()
		c.callbacks.call(view)
		c.inForce.Store(view)
		c.Kick()
	}
}
