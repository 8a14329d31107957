package upgrade

import (
	"os"
	"syscall"
)

// ownerOrder is an operation that the process which owns everything must perform.
type ownerOrder struct {
	signal os.Signal // sent to the new process if it takes over first
	run    func()    // called here if this process stays
}

// RunAsOwner has the operation performed by the process that owns everything: here, by run, at once or when an upgrade in
// progress has fallen back; or by the new process, which receives the signal. It returns when run has returned here.
func (s *HandoverSender) RunAsOwner(signal os.Signal, run func()) {
	done := make(chan struct{})
	s.orders <- ownerOrder{signal, func() { run(); close(done) }}
	<-done
}

// Stop requests the end of this process. It returns when no upgrade is in progress. If the new process has taken over,
// it does not return; a new process that this one started receives SIGTERM instead.
func (s *HandoverSender) Stop() {
	s.inputs <- StopRequested{}
	idle := make(chan struct{})
	s.orders <- ownerOrder{syscall.SIGTERM, func() { close(idle) }}
	<-idle
}

// DeferredOrders returns the number of orders that wait for the end of an upgrade.
func (s *HandoverSender) DeferredOrders() int { return int(s.deferredOrders.Load()) }
