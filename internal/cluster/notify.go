package cluster

import (
	"context"
	"sync"
)

// callback is a function registered with OnChange.
type callback struct {
	notify func(*View)
	seen   *View // latest view passed to notify
}

// callbackList holds the registered callbacks.
type callbackList struct {
	mutex     sync.Mutex
	callbacks []*callback
	added     chan struct{} // has a token after an addition
}

func newCallbackList() *callbackList {
	return &callbackList{added: make(chan struct{}, 1)}
}

// add registers a callback that has already seen the given view.
func (l *callbackList) add(notify func(*View), seen *View) {
	l.mutex.Lock()
	l.callbacks = append(l.callbacks, &callback{notify: notify, seen: seen})
	l.mutex.Unlock()
	select {
	case l.added <- struct{}{}:
	default:
	}
}

// notify runs the callbacks that have not seen the view.
func (l *callbackList) notify(view *View) {
	l.mutex.Lock()
	callbacks := l.callbacks
	l.mutex.Unlock()
	for _, each := range callbacks {
		if each.seen != view {
			each.seen = view
			each.notify(view)
		}
	}
}

// OnChange registers a callback that is called with each new view, and with the current one unless it is empty. Views
// superseded in the meantime may be skipped. All callbacks run on one goroutine and must return quickly, as a version
// is acknowledged only after they have returned.
func (c *Client) OnChange(notify func(*View)) { c.callbacks.add(notify, c.initialView) }

// notifyLoop runs the callbacks for each new view and then requests a renewal, which acknowledges it.
func (c *Client) notifyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.notifiedView.Load().Superseded():
		case <-c.callbacks.added:
		}
		view := c.View()
		c.callbacks.notify(view)
		if c.notifiedView.Load() != view {
			c.notifiedView.Store(view)
			c.Kick()
		}
	}
}
