package controlplane

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// cutOffNode is a leader that a majority no longer answers. Its state may be older than the newest.
type cutOffNode struct {
	node
	state      *rpc.ControlState
	reads      error // of a read, and of a proposal that makes no new version; nil once a majority answers
	leaseEnded bool  // by the time of the answer
	asked      int   // reads, and proposals without a new version
}

func (n *cutOffNode) Status() failover.Status {
	encoded, err := proto.Marshal(n.state)
	if err != nil {
		panic(err)
	}
	return failover.Status{Leader: true, LeaderAddress: "10.0.0.1:1", StateEpoch: 1, StateSeq: 1, State: encoded}
}

// LeaseValid holds until something was asked, so that a handler begins.
func (n *cutOffNode) LeaseValid() bool { return !n.leaseEnded || n.asked == 0 }

func (n *cutOffNode) Read(context.Context) error {
	n.asked++
	return n.reads
}

func (n *cutOffNode) Propose(_ context.Context, change func([]byte) ([]byte, error)) error {
	n.asked++
	before := n.Status().State
	after, err := change(before)
	if n.reads != nil {
		return n.reads
	}
	if err == nil && string(after) != string(before) {
		return failover.OutcomeUnknownError{Reason: "no majority"}
	}
	return err
}

// clearAnswers are calls that a leader in touch answers clearly on the state that serverOn gives it.
var clearAnswers = []struct {
	name, method, path, ifVersion, body string
	status                              int
}{
	{"read", http.MethodGet, readPath, "", "", http.StatusOK},
	{"repeated order", http.MethodPost, replacePath, "0", configWith(5, "a"), http.StatusOK},
	{"other version", http.MethodPost, replacePath, "4", configWith(9, "a"), http.StatusPreconditionFailed},
	{"invalid order", http.MethodPost, replacePath, "5", configWith(6, "a")[1:], http.StatusBadRequest},
	{"unknown store", http.MethodPost, "/api/retire/none/start", "", "{}", http.StatusNotFound},
	{"too few stores", http.MethodPost, "/api/retire/store-1/start", "", "{}", http.StatusConflict},
	{"repeated retirement", http.MethodPost, "/api/retire/store-0/start", "", "{}", http.StatusOK},
	{"retirement read", http.MethodGet, "/api/retire/store-0/read", "", "", http.StatusOK},
	{"retirement never ordered", http.MethodGet, "/api/retire/store-1/read", "", "", http.StatusNotFound},
}

// serverOn returns a server on a stand-in for its node, which holds a configuration and a retirement.
func serverOn(t *testing.T, n *cutOffNode) *Server {
	taken := newConfigOrder(orderReplace, 0, []byte(configWith(5, "a")))
	n.state = &rpc.ControlState{
		ConfigVersion: 5,
		Config:        taken.body,
		Stores:        []*rpc.StoreMember{{Node: "store-0", Leaving: true, Whole: true, Address: "a"}, {Node: "store-1", Whole: true, Address: "b"}},
		Retirements:   []*rpc.Retirement{{Node: "store-0"}},
	}
	recordTaken(n.state, taken.digest)
	server, err := New(Options{Log: logr.Discard(), Settings: &settings.Settings{
		Listen: settings.Listen{Control: "10.0.0.1:1"}, FaultTolerance: settings.FaultTolerance{Machines: 1},
	}})
	must.NoError(t, err)
	server.node = n
	server.state = newReplicatedState(n)
	return server
}

func TestLeaderInTouchAnswersClearly(t *testing.T) {
	for _, called := range clearAnswers {
		server := serverOn(t, &cutOffNode{})
		must.EqOp(t, called.status, statusOf(server, called.method, called.path, called.ifVersion, called.body), must.Sprint(called.name))
	}
}

// TestNothingIsAnsweredThatNoMajorityConfirmed has the lease hold, while nobody answers the round of heartbeats.
func TestNothingIsAnsweredThatNoMajorityConfirmed(t *testing.T) {
	for _, reads := range []error{context.DeadlineExceeded, errors.New("overloaded")} {
		for _, called := range clearAnswers {
			server := serverOn(t, &cutOffNode{reads: reads})
			status := statusOf(server, called.method, called.path, called.ifVersion, called.body)
			must.GreaterEq(t, http.StatusInternalServerError, status, must.Sprint(called.name))
		}
	}
}

// TestNothingIsAnsweredOnceTheLeaseHasEnded has a majority confirm, and the lease end before the answer.
func TestNothingIsAnsweredOnceTheLeaseHasEnded(t *testing.T) {
	for _, called := range clearAnswers {
		server := serverOn(t, &cutOffNode{leaseEnded: true})
		status := statusOf(server, called.method, called.path, called.ifVersion, called.body)
		must.GreaterEq(t, http.StatusInternalServerError, status, must.Sprint(called.name))
	}
}

// TestOldOrderThatMayBeForgottenIsNotRefused has so many orders taken after one that its digest is dropped.
func TestOldOrderThatMayBeForgottenIsNotRefused(t *testing.T) {
	n := &cutOffNode{}
	server := serverOn(t, n)
	first := newConfigOrder(orderReplace, 0, []byte(configWith(5, "a")))
	for version := range uint64(maxTaken) {
		n.state.ConfigVersion = 6 + version
		recordTaken(n.state, newConfigOrder(orderReplace, 5+version, []byte("{}")).digest)
	}
	must.False(t, wasTaken(n.state, first.digest))
	must.GreaterEq(t, http.StatusInternalServerError, statusOf(server, http.MethodPost, replacePath, "0", string(first.body)))
	recent := n.state.ConfigVersion - 1
	must.EqOp(t, http.StatusPreconditionFailed,
		statusOf(server, http.MethodPost, replacePath, "2000", configWith(int(recent)+9, "z")))
}

// TestDigestsOfOlderStatesAreKnown reads a state whose digests are whole.
func TestDigestsOfOlderStatesAreKnown(t *testing.T) {
	order := newConfigOrder(orderReplace, 0, []byte("{}"))
	state := &rpc.ControlState{Taken: []*rpc.Taken{{Digest: append(append([]byte{}, order.digest...), 1, 2, 3)}}}
	must.True(t, wasTaken(state, order.digest))
}

func statusOf(server *Server, method, path, ifVersion, body string) int {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if ifVersion != "" {
		request.Header.Set(headerIfVersion, ifVersion)
	}
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, request)
	return recorder.Code
}
