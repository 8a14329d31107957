package ingest

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/rpc"
)

// nameAt is the name of a message whose partition the first store owns.
var nameAt = messageName(0, 7)

func TestStateIsTheOwners(t *testing.T) {
	w := newWorld(t)
	w.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_QUEUED}, nil)
	answer := w.send("GET", "/api/message/"+nameAt, "")
	must.Eq(t, fasthttp.StatusOK, answer.status)
	must.Eq(t, "application/json", answer.header.Get("Content-Type"))
	must.Eq(t, `{"state":"queued"}`, answer.body)
	w.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_COMPLETED, Stamp: "s.1"}, nil)
	must.Eq(t, `{"state":"completed","stamp":"s.1"}`, w.send("GET", "/api/message/"+nameAt, "").body)
	w.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_DEAD}, nil)
	must.Eq(t, `{"state":"dead_letter"}`, w.send("GET", "/api/message/"+nameAt, "").body)
}

func TestEndKnownElsewhereGoesBeforeAHoldersQueue(t *testing.T) {
	w := newWorld(t)
	w.stores[0].server.Close()
	w.stores[1].onLookup(&rpc.LookupReply{Found: true, State: rpc.State_QUEUED}, nil)
	w.stores[3].onLookup(&rpc.LookupReply{Found: true, State: rpc.State_COMPLETED, Stamp: "s"}, nil)
	must.Eq(t, `{"state":"completed","stamp":"s"}`, w.send("GET", "/api/message/"+nameAt, "").body)
}

func TestUnknownMessageIsNotFoundIfEveryStoreSaysSo(t *testing.T) {
	w := newWorld(t)
	must.Eq(t, fasthttp.StatusNotFound, w.send("GET", "/api/message/"+nameAt, "").status)
	must.Eq(t, fasthttp.StatusNotFound, w.send("GET", "/api/message-body/"+nameAt, "").status)
	w.stores[2].server.Close()
	mustRefuse(t, w.send("GET", "/api/message/"+nameAt, ""))
	mustRefuse(t, w.send("GET", "/api/message-body/"+nameAt, ""))
}

func TestForeignNamesAreNotFound(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"", "x", "00-", "zz-0000000000000000", "00-000000000000000g", "00000000000000000000"} {
		must.Eq(t, fasthttp.StatusNotFound, w.send("GET", "/api/message/"+name, "").status)
	}
}

func TestStateIsUnknownWithoutAMap(t *testing.T) {
	mustRefuse(t, emptyWorld(t).send("GET", "/api/message/"+nameAt, ""))
}

func TestBodyComesFromAnyStoreThatHasIt(t *testing.T) {
	w := newWorld(t)
	w.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_QUEUED}, nil)
	mustRefuse(t, w.send("GET", "/api/message-body/"+nameAt, ""))
	w.stores[2].onLookup(&rpc.LookupReply{Found: true, HasBody: true, Body: []byte("a\x00b")}, nil)
	answer := w.send("GET", "/api/message-body/"+nameAt, "")
	must.Eq(t, fasthttp.StatusOK, answer.status)
	must.Eq(t, "application/octet-stream", answer.header.Get("Content-Type"))
	must.Eq(t, "a\x00b", answer.body)
	w.stores[2].onLookup(&rpc.LookupReply{Found: true, HasBody: true}, nil)
	must.Eq(t, fasthttp.StatusOK, w.send("GET", "/api/message-body/"+nameAt, "").status)
}

func TestNameCarriesItsPartition(t *testing.T) {
	for partition := range uint32(256) {
		got, ok := partitionOf(messageName(partition, randomName()))
		must.True(t, ok)
		must.Eq(t, partition, got)
	}
	must.Eq(t, "3f-0000000000000abc", messageName(63, 0xabc))
}

func TestFiguresTellHowRequestsEnded(t *testing.T) {
	w := newWorld(t)
	w.stores[0].onLookup(&rpc.LookupReply{Found: true, Owner: true, State: rpc.State_QUEUED}, nil)
	w.send("GET", "/api/message/"+nameAt, "")
	w.stores[0].onLookup(&rpc.LookupReply{}, nil)
	w.send("GET", "/api/message/"+nameAt, "")
	w.stores[2].server.Close()
	w.send("GET", "/api/message/"+nameAt, "")
	w.send("POST", "/nowhere/x", "")
	told := map[string]uint64{}
	for _, figure := range w.dispatcher.figures() {
		told[figure.Name] = figure.Value
	}
	must.MapContainsKey(t, told, "foldlb_dispatcher_control_silent_ms")
	must.Less(t, uint64(testPatience.Milliseconds()), told["foldlb_dispatcher_control_silent_ms"])
	delete(told, "foldlb_dispatcher_control_silent_ms")
	must.Eq(t, map[string]uint64{"foldlb_dispatcher_config_version": 1, "foldlb_dispatcher_map_version": 1,
		"foldlb_dispatcher_lookups_total": 3, "foldlb_dispatcher_lookups_unknown_total": 1,
		"foldlb_dispatcher_lookups_unsure_total": 1, "foldlb_dispatcher_rejections_total": 1,
		"foldlb_dispatcher_rejections_unsure_total": 0}, told)
}
