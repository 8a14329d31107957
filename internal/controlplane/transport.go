package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	peerDialTimeout     = 250 * time.Millisecond
	peerUserTimeout     = 2 * time.Second // TCP_USER_TIMEOUT: closes a connection whose peer acknowledges no data
	maxIdleConnsPerPeer = 2               // idle connections to each control process
)

// clients holds one RPC client per control process.
type clients struct {
	http *http.Client

	mutex     sync.Mutex
	byAddress map[string]rpc.Control
}

// newClients returns clients that use the given round tripper, or TCP if it is nil.
func newClients(roundTripper http.RoundTripper) *clients {
	if roundTripper == nil {
		roundTripper = newPeerTransport()
	}
	return &clients{http: &http.Client{Transport: roundTripper}, byAddress: make(map[string]rpc.Control)}
}

// newPeerTransport returns an HTTP transport that closes connections within peerUserTimeout if the peer stops responding. A
// response that is not valid is an error.
func newPeerTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			watch.SetUserTimeout(connection, peerUserTimeout)
		}
		return connection, err
	}
	return &http.Transport{
		DialContext:         responsecheck.Dial(dial),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     time.Minute,
	}
}

// get returns the client for the process at host:port.
func (c *clients) get(address string) rpc.Control {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.byAddress[address]
	if client == nil {
		client = rpc.NewControlProtobufClient("http://"+address, c.http)
		c.byAddress[address] = client
	}
	return client
}

// close closes idle connections.
func (c *clients) close() {
	c.http.CloseIdleConnections()
}

// transport carries the calls of failover.Node. It implements failover.Transport.
type transport struct {
	clients *clients
}

// Vote implements failover.Transport.
func (t *transport) Vote(ctx context.Context, address string, request failover.VoteRequest) (failover.VoteReply, error) {
	reply, err := t.clients.get(address).Vote(ctx, voteToWire(request))
	if err != nil {
		return failover.VoteReply{}, err
	}
	return failover.VoteReply{Granted: reply.Granted, Epoch: reply.Epoch, NotMember: reply.NotMember}, nil
}

// Replicate implements failover.Transport.
func (t *transport) Replicate(ctx context.Context, address string, request failover.ReplicateRequest) (failover.ReplicateReply, error) {
	encoded, err := replicateToWire(request)
	if err != nil {
		return failover.ReplicateReply{}, err
	}
	reply, err := t.clients.get(address).Replicate(ctx, encoded)
	if err != nil {
		return failover.ReplicateReply{}, err
	}
	return failover.ReplicateReply{
		Ok:          reply.Ok,
		Epoch:       reply.Epoch,
		StateEpoch:  reply.StateEpoch,
		StateSeq:    reply.StateSeq,
		NotMember:   reply.NotMember,
		Incarnation: reply.Incarnation,
	}, nil
}

func voteToWire(request failover.VoteRequest) *rpc.VoteRequest {
	return &rpc.VoteRequest{
		Member:     request.Member,
		Candidate:  request.Candidate,
		Epoch:      request.Epoch,
		StateEpoch: request.StateEpoch,
		StateSeq:   request.StateSeq,
		AskOnly:    request.PreVote,
	}
}

func voteFromWire(request *rpc.VoteRequest) failover.VoteRequest {
	return failover.VoteRequest{
		Member:     request.Member,
		Candidate:  request.Candidate,
		Epoch:      request.Epoch,
		StateEpoch: request.StateEpoch,
		StateSeq:   request.StateSeq,
		PreVote:    request.AskOnly,
	}
}

func replicateToWire(request failover.ReplicateRequest) (*rpc.ReplicateRequest, error) {
	encoded := &rpc.ReplicateRequest{
		Member:        request.Member,
		Leader:        request.Leader,
		LeaderAddress: request.LeaderAddress,
		Epoch:         request.Epoch,
		StateEpoch:    request.StateEpoch,
		StateSeq:      request.StateSeq,
		SameEpoch:     request.SameEpoch,
		SameSeq:       request.SameSeq,
		Resign:        request.Resign,
		CommittedSeq:  request.CommittedSeq,
		LeaseMs:       request.Lease.Milliseconds(),
	}
	if request.Contents == nil {
		return encoded, nil
	}
	state := &rpc.ControlState{}
	if err := proto.Unmarshal(request.Contents.State, state); err != nil {
		return nil, errors.Wrap(err, "decode the state to replicate: restore the data directory of this process")
	}
	state.Members = membersToWire(request.Contents.Members)
	state.OldMembers = membersToWire(request.Contents.OldMembers)
	encoded.State = state
	return encoded, nil
}

func replicateFromWire(request *rpc.ReplicateRequest) (failover.ReplicateRequest, error) {
	decoded := failover.ReplicateRequest{
		Member:        request.Member,
		Leader:        request.Leader,
		LeaderAddress: request.LeaderAddress,
		Epoch:         request.Epoch,
		StateEpoch:    request.StateEpoch,
		StateSeq:      request.StateSeq,
		SameEpoch:     request.SameEpoch,
		SameSeq:       request.SameSeq,
		Resign:        request.Resign,
		CommittedSeq:  request.CommittedSeq,
		Lease:         time.Duration(request.LeaseMs) * time.Millisecond,
	}
	if request.State == nil {
		return decoded, nil
	}
	contents := &failover.Contents{
		Members:    membersFromWire(request.State.Members),
		OldMembers: membersFromWire(request.State.OldMembers),
	}
	request.State.Members, request.State.OldMembers = nil, nil
	encoded, err := proto.Marshal(request.State)
	if err != nil {
		return decoded, errors.Wrap(err, "encode the received state: have the leader send it again")
	}
	contents.State = encoded
	decoded.Contents = contents
	return decoded, nil
}

func membersToWire(members []failover.Member) []*rpc.Member {
	encoded := make([]*rpc.Member, 0, len(members))
	for _, member := range members {
		encoded = append(encoded, &rpc.Member{Id: member.ID, Address: member.Address, Zone: member.Zone})
	}
	return encoded
}

func membersFromWire(members []*rpc.Member) []failover.Member {
	var decoded []failover.Member
	for _, member := range members {
		decoded = append(decoded, failover.Member{ID: member.Id, Address: member.Address, Zone: member.Zone})
	}
	return decoded
}
