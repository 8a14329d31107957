package upgrade

import (
	"os"
	"syscall"
)

// order is what somebody wants done by the process that owns everything.
type order struct {
	signal os.Signal // sent to the new process, if that takes over first
	run    func()    // done here, if this process stays
}

// Order has run called by the process that owns everything: here, at once or when an upgrade under way has fallen
// back; or, as the signal says, by the new process. It returns when run has been called here.
func (g *HandoverSender) RunAsOwner(signal os.Signal, run func()) {
	done := make(chan struct{})
	g.orders <- order{signal, func() { run(); close(done) }}
	<-done
}

// Stop says that the process is to end. It returns when no upgrade is under way any more; where the new process has
// taken over it does not return, and the new one is told instead.
func (g *HandoverSender) Stop() {
	g.inputs <- StopRequested{}
	idle := make(chan struct{})
	g.orders <- order{syscall.SIGTERM, func() { close(idle) }}
	<-idle
}

// DeferredOrders tells how many orders wait for the end of an upgrade.
func (g *HandoverSender) DeferredOrders() int { return int(g.putOff.Load()) }
