package storenode

import (
	"time"
)

// do executes a command on the event loop goroutine and waits for it. It returns false if the node is closed. It must not be called on the
// event loop goroutine.
func (n *Node) do(command func()) bool {
	done := make(chan struct{})
	if !n.post(func() { command(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-n.closed:
		return false
	}
}

// post queues a command for the event loop goroutine. It returns false if the node is closed.
func (n *Node) post(command func()) bool {
	select {
	case n.commands <- command:
		return true
	case <-n.closed:
		return false
	}
}

// loop is the event loop: it executes commands, timers and housekeeping until the node is closed.
func (n *Node) loop() {
	defer n.goroutines.Done()
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case command := <-n.commands:
			command()
			n.drainCommands()
		case <-n.timer.C:
			n.timerAt = 0
			n.schedulePending = true
		case <-ticker.C:
			n.housekeep()
		case <-n.closed:
			return
		}
		if n.schedulePending {
			n.schedulePending = false
			n.scheduleAttempts()
		}
	}
}

// drainCommands executes the other queued commands, so that one scheduling pass serves many of them.
func (n *Node) drainCommands() {
	for range commandQueueLength {
		select {
		case command := <-n.commands:
			command()
		default:
			return
		}
	}
}
