package ingest

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/rpc"
)

// nameAt is a message name in a partition of the first store.
var nameAt = messageName(0, 7)

func TestStateComesFromOwner(t *testing.T) {
	h := newHarness(t)
	h.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_QUEUED}, nil)
	answer := h.send("GET", "/api/message/"+nameAt, "")
	must.Eq(t, fasthttp.StatusOK, answer.status)
	must.Eq(t, "application/json", answer.header.Get("Content-Type"))
	must.Eq(t, `{"state":"queued"}`, answer.body)
	h.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_COMPLETED, Stamp: "s.1"}, nil)
	must.Eq(t, `{"state":"completed","stamp":"s.1"}`, h.send("GET", "/api/message/"+nameAt, "").body)
	h.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_DEAD}, nil)
	must.Eq(t, `{"state":"dead_letter"}`, h.send("GET", "/api/message/"+nameAt, "").body)
}

func TestFinalStateOutranksQueuedState(t *testing.T) {
	h := newHarness(t)
	h.stores[0].server.Close()
	h.stores[1].onLookup(&rpc.LookupReply{Found: true, State: rpc.State_QUEUED}, nil)
	h.stores[3].onLookup(&rpc.LookupReply{Found: true, State: rpc.State_COMPLETED, Stamp: "s"}, nil)
	must.Eq(t, `{"state":"completed","stamp":"s"}`, h.send("GET", "/api/message/"+nameAt, "").body)
}

func TestMessageIsNotFoundOnlyIfEveryStoreReplies(t *testing.T) {
	h := newHarness(t)
	must.Eq(t, fasthttp.StatusNotFound, h.send("GET", "/api/message/"+nameAt, "").status)
	must.Eq(t, fasthttp.StatusNotFound, h.send("GET", "/api/message-body/"+nameAt, "").status)
	h.stores[2].server.Close()
	mustBeUnavailable(t, h.send("GET", "/api/message/"+nameAt, ""))
	mustBeUnavailable(t, h.send("GET", "/api/message-body/"+nameAt, ""))
}

func TestMalformedNamesAreNotFound(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"", "x", "00-", "zz-0000000000000000", "00-000000000000000g", "00000000000000000000"} {
		must.Eq(t, fasthttp.StatusNotFound, h.send("GET", "/api/message/"+name, "").status)
	}
}

func TestStateIsUnknownWithoutAMap(t *testing.T) {
	mustBeUnavailable(t, newEmptyHarness(t).send("GET", "/api/message/"+nameAt, ""))
}

func TestBodyComesFromAnyStoreThatHasIt(t *testing.T) {
	h := newHarness(t)
	h.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_QUEUED}, nil)
	mustBeUnavailable(t, h.send("GET", "/api/message-body/"+nameAt, ""))
	h.stores[2].onLookup(&rpc.LookupReply{Found: true, HasBody: true, Body: []byte("a\x00b")}, nil)
	answer := h.send("GET", "/api/message-body/"+nameAt, "")
	must.Eq(t, fasthttp.StatusOK, answer.status)
	must.Eq(t, "application/octet-stream", answer.header.Get("Content-Type"))
	must.Eq(t, "a\x00b", answer.body)
	h.stores[2].onLookup(&rpc.LookupReply{Found: true, HasBody: true}, nil)
	must.Eq(t, fasthttp.StatusOK, h.send("GET", "/api/message-body/"+nameAt, "").status)
}

func TestNameContainsPartition(t *testing.T) {
	for partition := range uint32(256) {
		got, ok := partitionOf(messageName(partition, randomID()))
		must.True(t, ok)
		must.Eq(t, partition, got)
	}
	must.Eq(t, "3f-0000000000000abc", messageName(63, 0xabc))
}

func TestMetricsCountRequestResults(t *testing.T) {
	h := newHarness(t)
	h.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_QUEUED}, nil)
	h.send("GET", "/api/message/"+nameAt, "")
	h.stores[0].onLookup(&rpc.LookupReply{}, nil)
	h.send("GET", "/api/message/"+nameAt, "")
	h.stores[2].server.Close()
	h.send("GET", "/api/message/"+nameAt, "")
	h.send("POST", "/nowhere/x", "")
	values := map[string]uint64{}
	for _, figure := range h.dispatcher.collectMetrics() {
		values[figure.Name] = figure.Value
	}
	must.MapContainsKey(t, values, "foldlb_dispatcher_control_silent_ms")
	must.Less(t, uint64(testTimeout.Milliseconds()), values["foldlb_dispatcher_control_silent_ms"])
	delete(values, "foldlb_dispatcher_control_silent_ms")
	must.Eq(t, map[string]uint64{"foldlb_dispatcher_config_version": 1, "foldlb_dispatcher_map_version": 1,
		"foldlb_dispatcher_lookups_total": 3, "foldlb_dispatcher_lookups_unknown_total": 1,
		"foldlb_dispatcher_lookups_unsure_total": 1, "foldlb_dispatcher_rejections_total": 1,
		"foldlb_dispatcher_rejections_unsure_total": 0}, values)
}
