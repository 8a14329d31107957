// Package controlplane is the control role: it keeps the operator's configuration, the members of the system
// and the owners of the partitions in one replicated state, reads the platform's list of workers, and streams
// all of it to the dispatchers and stores.
//
// One process leads (coord/failover). It alone takes orders, grants leases to members, plans partitions and
// streams; the others send callers to it. Whatever is acknowledged, granted or streamed has been committed
// before, while the leader's own lease was valid.
package controlplane
