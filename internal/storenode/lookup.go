package storenode

import (
	"context"

	"foldlb.example/foldlb/internal/rpc"
)

// Lookup implements rpc.Store: it returns the state of a message and, on request, its body.
func (n *Node) Lookup(_ context.Context, request *rpc.LookupRequest) (*rpc.LookupReply, error) {
	reply := &rpc.LookupReply{}
	var holders []string
	stored := false
	if !n.do(func() {
		entry := n.table.Get(request.Name)
		if entry == nil {
			return
		}
		reply.Found, reply.State, reply.Stamp = true, entry.State, entry.Stamp
		reply.Owner = n.table.IsReady(entry.Partition)
		stored = entry.Stored
		holders = append(holders, entry.Holders...)
	}) {
		return nil, errClosed
	}
	n.counters.lookups.Add(1)
	if !reply.Found {
		n.counters.lookupsUnknown.Add(1)
	}
	if !reply.Found || !request.Body || reply.State == rpc.State_COMPLETED {
		return reply, nil
	}
	var m *rpc.Message
	if stored {
		m = n.readStored(request.Name)
	}
	if m == nil {
		m = n.fetchFromHolders(request.Name, holders)
	}
	if m != nil {
		reply.Body, reply.HasBody = m.Body, true
	}
	return reply, nil
}
