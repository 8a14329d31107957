package storenode

import (
	"context"

	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/rpc"
)

// callStore sends a copy of a request and returns a copy of the reply.
func callStore[Request, Reply proto.Message](ctx context.Context, c *storeClient, method string, request Request,
	serve func(*Node, context.Context, Request) (Reply, error)) (Reply, error) {
	copied := proto.CloneOf(request)
	r := &remoteCall[Reply]{world: c.world, from: c.from, caller: c.caller, address: c.address, method: method,
		serve: func(ctx context.Context, p *process) (Reply, error) {
			reply, err := serve(p.node, ctx, copied)
			if err != nil {
				var none Reply
				return none, err
			}
			return proto.CloneOf(reply), nil
		}}
	return r.call(ctx)
}

// Put implements rpc.Store.
func (c *storeClient) Put(ctx context.Context, request *rpc.PutRequest) (*rpc.PutReply, error) {
	return callStore(ctx, c, "put", request, (*Node).Put)
}

// Report implements rpc.Store.
func (c *storeClient) Report(ctx context.Context, request *rpc.ReportRequest) (*rpc.ReportReply, error) {
	return callStore(ctx, c, "report", request, (*Node).Report)
}

// Gather implements rpc.Store.
func (c *storeClient) Gather(ctx context.Context, request *rpc.GatherRequest) (*rpc.GatherReply, error) {
	return callStore(ctx, c, "gather", request, (*Node).Gather)
}

// Fetch implements rpc.Store.
func (c *storeClient) Fetch(ctx context.Context, request *rpc.FetchRequest) (*rpc.FetchReply, error) {
	return callStore(ctx, c, "fetch", request, (*Node).Fetch)
}

// Held implements rpc.Store.
func (c *storeClient) Held(ctx context.Context, request *rpc.HeldRequest) (*rpc.HeldReply, error) {
	return callStore(ctx, c, "held", request, (*Node).Held)
}

// Scrub implements rpc.Store.
func (c *storeClient) Scrub(ctx context.Context, request *rpc.ScrubRequest) (*rpc.ScrubReply, error) {
	return callStore(ctx, c, "scrub", request, (*Node).Scrub)
}

// AcquirePermits implements rpc.Store.
func (c *storeClient) AcquirePermits(ctx context.Context, request *rpc.AcquirePermitsRequest) (*rpc.AcquirePermitsReply, error) {
	return callStore(ctx, c, "permits", request, (*Node).AcquirePermits)
}

// Lookup implements rpc.Store.
func (c *storeClient) Lookup(ctx context.Context, request *rpc.LookupRequest) (*rpc.LookupReply, error) {
	return callStore(ctx, c, "lookup", request, (*Node).Lookup)
}
