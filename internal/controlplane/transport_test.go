package controlplane

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
)

// overTheWire encodes a request and reads it back as the receiver does.
func overTheWire(t *testing.T, request failover.ReplicateRequest) failover.ReplicateRequest {
	t.Helper()
	sent, err := replicateToWire(request)
	must.NoError(t, err)
	encoded, err := proto.Marshal(sent)
	must.NoError(t, err)
	received := &rpc.ReplicateRequest{}
	must.NoError(t, proto.Unmarshal(encoded, received))
	decoded, err := replicateFromWire(received)
	must.NoError(t, err)
	return decoded
}

func TestReplicateRequestIsReadBack(t *testing.T) {
	state, err := proto.Marshal(&rpc.ControlState{ConfigVersion: 7, Config: []byte("{}")})
	must.NoError(t, err)
	request := failover.ReplicateRequest{
		Member:        "b:1#0",
		Leader:        "a:1#0",
		LeaderAddress: "a:1",
		Epoch:         3,
		StateEpoch:    4,
		StateSeq:      5,
		SameEpoch:     6,
		SameSeq:       8,
		Resign:        true,
		CommittedSeq:  9,
	}
	must.Eq(t, request, overTheWire(t, request))
	request.Contents = &failover.Contents{
		State:   state,
		Members: []failover.Member{{ID: "a:1#0", Address: "a:1", Zone: "east"}},
	}
	must.Eq(t, request, overTheWire(t, request))
	request.Contents.OldMembers = []failover.Member{{ID: "a:1#0", Address: "a:1", Zone: "east"}, {ID: "c:1#0", Address: "c:1", Zone: "west"}}
	must.Eq(t, request, overTheWire(t, request))
}

func TestVoteRequestIsReadBack(t *testing.T) {
	request := failover.VoteRequest{
		Member:     "b:1#0",
		Candidate:  "a:1#0",
		Epoch:      3,
		StateEpoch: 4,
		StateSeq:   5,
		PreVote:    true,
	}
	must.Eq(t, request, voteFromWire(voteToWire(request)))
}
