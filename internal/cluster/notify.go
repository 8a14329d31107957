package cluster

import (
	"context"
	"sync"
)

// callback is one that waits for new views.
type callback struct {
	call func(*View)
	seen *View // the newest view it was called with
}

// callbackList holds all that wait for new views.
type callbackList struct {
	mutex sync.Mutex
	list  []*callback
	added chan struct{} // holds a token after an addition
}

func newCallbackList() *callbackList {
	return &callbackList{added: make(chan struct{}, 1)}
}

// add adds a callback that has seen a view.
func (l *callbackList) add(call func(*View), seen *View) {
	l.mutex.Lock()
	l.list = append(l.list, &callback{call: call, seen: seen})
	l.mutex.Unlock()
	select {
	case l.added <- struct{}{}:
	default:
	}
}

// call runs those callbacks that have not seen the view.
func (l *callbackList) call(view *View) {
	l.mutex.Lock()
	list := l.list
	l.mutex.Unlock()
	for _, each := range list {
		if each.seen != view {
			each.seen = view
			each.call(view)
		}
	}
}

// OnChange has a callback run with each new view, and at once with the present one if there is any; views
// that were superseded meanwhile may be left out. All callbacks run on one goroutine and must return soon: a
// version is acknowledged after they have.
func (c *Client) OnChange(call func(*View)) { c.callbacks.add(call, c.first) }

// notifyLoop runs the callbacks with each new view, and has it acknowledged afterwards.
func (c *Client) notifyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.inForce.Load().Superseded():
		case <-c.callbacks.added:
		}
		view := c.View()
		c.callbacks.call(view)
		if c.inForce.Load() != view {
			c.inForce.Store(view)
			c.Kick()
		}
	}
}
