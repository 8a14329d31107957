// Package cluster is what a data-plane process knows of the others: the newest view of configuration,
// partition table and workers, the lease of this process, and clients of the stores.
//
// A Client finds the leader of the control plane, follows its stream and renews this process's lease. Views
// are immutable snapshots; a part of a view is never replaced by an older one.
package cluster
