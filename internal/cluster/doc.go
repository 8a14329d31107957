// Package cluster gives a data-plane process its view of the cluster: the newest configuration, partition map and
// worker list, the process's lease, and clients of the stores.
//
// A Client finds the leader of the control plane, follows its stream of updates and renews the lease of its process.
// Views are immutable snapshots; a part of a view is never replaced by an older one.
package cluster
