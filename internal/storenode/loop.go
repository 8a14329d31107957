package storenode

import (
	"time"
)

// The owner goroutine and its queue of commands.

// do runs a command on the owner goroutine and waits for it. It reports false where the node is closed.
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

// post hands a command to the owner goroutine.
func (n *Node) post(command func()) bool {
	select {
	case n.commands <- command:
		return true
	case <-n.closed:
		return false
	}
}

// loop is the owner goroutine.
func (n *Node) loop() {
	defer n.stopping.Done()
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case command := <-n.commands:
			command()
			n.drainCommands()
		case <-n.timer.C:
			n.timerAt = 0
			n.pumpDue = true
		case <-ticker.C:
			n.housekeep()
		case <-n.closed:
			return
		}
		if n.pumpDue {
			n.pumpDue = false
			n.pump()
		}
	}
}

// drainCommands runs what else is queued, so that one look for runnable messages serves many commands.
func (n *Node) drainCommands() {
	for range commandBuffer {
		select {
		case command := <-n.commands:
			command()
		default:
			return
		}
	}
}
