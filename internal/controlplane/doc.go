// Package controlplane implements the control role: it holds the operator's configuration, the members of the
// system and the owners of the partitions in one replicated state, reads the platform's list of workers, and
// streams all of it to the dispatchers and stores.
//
// One process is the leader (coord/failover). Only the leader accepts configuration changes, grants leases to
// members, plans partitions and streams; the other processes redirect callers to it. Whatever the leader
// acknowledges, grants or streams was committed before, while its own lease was valid.
//
// The map is the versioned table of stores and partition owners. A store is whole if its disk holds every copy
// that was placed on it; a new disk in a known machine is not whole until the lost copies are restored.
package controlplane
