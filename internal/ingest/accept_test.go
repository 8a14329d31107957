package ingest

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

var catalogLimits = catalog.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

func TestStoredMessageIsAcceptedUnderItsName(t *testing.T) {
	h := newHarness(t)
	answer := h.send("PUT", "/free/x?q=%20a&b", "the bytes", "X-Request-Id", "id-1", "X-Delay-Ms", "1500")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	name := answer.header.Get("X-Msg-Id")
	must.True(t, h.ownerOf(name) == h.stores[0], must.Sprint("the owner is not in the dispatcher's zone"))
	put := h.stores[0].received()[0]
	must.Eq(t, rpc.PutMode_OWNER, put.Mode)
	must.Eq(t, 1, put.ConfigVersion)
	must.Eq(t, []uint64{10}, put.Epochs)
	message := put.Messages[0]
	must.Eq(t, name, message.Name)
	must.Eq(t, "free", message.Route)
	must.Eq(t, "PUT", message.Method)
	must.Eq(t, "/free/x?q=%20a&b", message.Path)
	must.Eq(t, "h.example", message.Host)
	must.Eq(t, "id-1", message.RequestId)
	must.Eq(t, "", message.OrderKey)
	must.Eq(t, "the bytes", string(message.Body))
	must.Between(t, 1400, message.DelayLeftMs, 1500)
	must.Eq(t, 1, h.puts(rpc.PutMode_OWNER))
}

func TestMessageWithoutRouteIsRejected(t *testing.T) {
	h := newHarness(t)
	for _, path := range []string{"/none/", "/free", "/sync/x", "/"} {
		must.Eq(t, fasthttp.StatusNotFound, h.send("POST", path, "x").status)
	}
	must.Eq(t, 0, h.puts(rpc.PutMode_OWNER))
}

func TestMessageIsRefusedBeforeFirstConfiguration(t *testing.T) {
	mustBeUnavailable(t, newEmptyHarness(t).send("POST", "/free/x", "x"))
}

func TestMessageIsRefusedWithoutOwners(t *testing.T) {
	h := newHarness(t)
	h.publishMap(11, func(int) *fakeStore { return nil })
	mustBeUnavailable(t, h.send("POST", "/free/x", "x"))
	mustBeUnavailable(t, h.send("POST", "/keyed/x", "x", "X-Order-Key", "k"))
}

func TestMessagesOfAKeyShareAPartition(t *testing.T) {
	h := newHarness(t)
	for _, key := range []string{"a", "b", "a", "c"} {
		name := h.send("POST", "/keyed/x", "x", "X-Order-Key", key).header.Get("X-Msg-Id")
		partition, ok := partitionOf(name)
		must.True(t, ok)
		must.Eq(t, message.PartitionForKey(key, testPartitions), partition)
	}
}

// The partition of a key must not depend on route or service: a configuration that led a key to a service with a rate moved it to another
// partition, where its messages overtook those that waited (review/3, ORDER).
func TestOrderKeyDecidesThePartitionOnEveryRoute(t *testing.T) {
	h := newHarness(t)
	for _, path := range []string{"/free/x", "/keyed/x", "/rated/x"} {
		name := h.send("POST", path, "x", "X-Order-Key", "a").header.Get("X-Msg-Id")
		partition, ok := partitionOf(name)
		must.True(t, ok)
		must.Eq(t, message.PartitionForKey("a", testPartitions), partition)
	}
	for _, put := range h.stores[0].received() {
		must.Eq(t, "a", put.Messages[0].OrderKey) // it is part of the delivery
		route, ok := h.client.View().Table.Route(put.Messages[0].Route)
		must.True(t, ok)
		must.Eq(t, route.FIFO, put.Messages[0].Ordered)
	}
}

// A message keeps the version and the promises under which it was matched.
func TestStoredMessageKeepsWhatItsRoutePromised(t *testing.T) {
	h := newHarness(t)
	must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/keyed/x", "x").status)
	view := h.client.View()
	route, _, ok := view.Table.MatchMessage("h.example", "/keyed/x")
	must.True(t, ok)
	for _, store := range h.stores {
		for _, put := range store.received() {
			stored := put.Messages[0]
			must.Eq(t, view.ConfigVersion, stored.ConfigVersion)
			must.Eq(t, route.Retries, int(stored.Retries))
			must.Eq(t, int64(route.RetentionS*1000), stored.RetentionMs)
			must.True(t, stored.Ordered)
		}
	}
	must.Eq(t, 1, h.puts(rpc.PutMode_OWNER))
}

func TestMessagesOfRateLimitedServiceShareAPartition(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		name := h.send("POST", "/rated/x", "x").header.Get("X-Msg-Id")
		partition, ok := partitionOf(name)
		must.True(t, ok)
		must.Eq(t, message.PartitionForKey("rated", testPartitions), partition)
	}
}

func TestUnkeyedMessageMovesFromRejectingOwner(t *testing.T) {
	for _, status := range []rpc.PutStatus{rpc.PutStatus_NOT_OWNER, rpc.PutStatus_STALE_EPOCH, rpc.PutStatus_FULL} {
		t.Run(status.String(), func(t *testing.T) {
			h := newHarness(t)
			h.stores[0].onPut(answering(status))
			answer := h.send("POST", "/free/x", "x")
			must.Eq(t, fasthttp.StatusAccepted, answer.status)
			must.True(t, h.ownerOf(answer.header.Get("X-Msg-Id")) != h.stores[0])
			must.Eq(t, 2, h.puts(rpc.PutMode_OWNER))
		})
	}
}

func TestUnkeyedMessageMovesFromUnreachableOwner(t *testing.T) {
	h := newHarness(t)
	h.stores[0].server.Close()
	for range 3 {
		must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/free/x", "x").status)
	}
	must.True(t, h.dispatcher.health.unreachable(h.stores[0].member.Address))
}

func TestMessageIsRefusedIfStoresAreFull(t *testing.T) {
	h := newHarness(t)
	for _, store := range h.stores {
		store.onPut(answering(rpc.PutStatus_FULL))
	}
	mustBeUnavailable(t, h.send("POST", "/free/x", "x"))
	must.Eq(t, len(h.stores), h.puts(rpc.PutMode_OWNER))
	mustBeUnavailable(t, h.send("POST", "/keyed/x", "x", "X-Order-Key", "k"))
}

func TestUnresponsiveOwnerIsBypassed(t *testing.T) {
	h := newHarness(t)
	h.stores[0].onPut(h.stores[0].blockPut)
	answer := h.send("POST", "/free/x", "x")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	name := answer.header.Get("X-Msg-Id")
	must.True(t, h.ownerOf(name) == h.stores[0])
	must.Eq(t, 2, h.puts(rpc.PutMode_HOLDER))
	for _, store := range h.stores[1:] {
		for _, put := range store.received() {
			must.Eq(t, name, put.Messages[0].Name)
			must.Eq(t, []uint64{10}, put.Epochs)
		}
	}
}

func TestFailedHolderIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.stores[0].onPut(answering(rpc.PutStatus_FAILED))
	h.stores[1].onPut(answering(rpc.PutStatus_FULL))
	must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/free/x", "x").status)
	must.SliceNotEmpty(t, h.stores[2].received())
	must.SliceNotEmpty(t, h.stores[3].received())
}

func TestTooFewHoldersLeaveTheOutcomeUnknown(t *testing.T) {
	h := newHarness(t)
	h.stores[0].onPut(h.stores[0].blockPut)
	h.stores[1].onPut(answering(rpc.PutStatus_FULL))
	h.stores[2].onPut(answering(rpc.PutStatus_FAILED))
	answer := h.send("POST", "/free/x", "x", "X-Deadline-Ms", "250")
	must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status)
}

func TestHolderWithNewerEpochRedirectsToNewOwner(t *testing.T) {
	h := newHarness(t)
	h.stores[0].onPut(h.stores[0].blockPut)
	for _, store := range h.stores[1:] {
		store.onPut(func(_ context.Context, put *rpc.PutRequest) (rpc.PutStatus, error) {
			if put.Epochs[0] < 11 {
				return rpc.PutStatus_STALE_EPOCH, nil
			}
			return rpc.PutStatus_STORED, nil
		})
	}
	answers := h.sendAsync("POST", "/free/x", "x", "X-Deadline-Ms", "9000")
	first := h.stores[0].awaitPut(t)
	h.publishMap(11, func(int) *fakeStore { return h.stores[1] })
	answer := <-answers
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	must.Eq(t, first.Messages[0].Name, answer.header.Get("X-Msg-Id"))
}

func TestKeyedMessageNeverBypassesOwner(t *testing.T) {
	for _, path := range []string{"/keyed/x", "/rated/x"} {
		h := newHarness(t)
		for _, store := range h.stores {
			store.onPut(store.blockPut)
		}
		answer := h.send("POST", path, "x", "X-Order-Key", "k", "X-Deadline-Ms", "250")
		must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status)
		must.Eq(t, 0, h.puts(rpc.PutMode_HOLDER))
		must.Eq(t, 1, h.puts(rpc.PutMode_OWNER))
	}
}

func TestKeyedMessageIsRetriedAtNewOwner(t *testing.T) {
	h := newHarness(t)
	key := h.keyOwnedBy(h.stores[0])
	h.stores[0].onPut(h.stores[0].blockPut)
	answers := h.sendAsync("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "9000")
	first := h.stores[0].awaitPut(t)
	h.publishMap(11, func(int) *fakeStore { return h.stores[2] })
	second := h.stores[2].awaitPut(t)
	must.Eq(t, first.Messages[0].Name, second.Messages[0].Name)
	must.Eq(t, []uint64{11}, second.Epochs)
	must.Eq(t, fasthttp.StatusAccepted, (<-answers).status)
}

func TestKeyedMessageIsRetriedUntilOwnerAccepts(t *testing.T) {
	h := newHarness(t)
	key := h.keyOwnedBy(h.stores[1])
	tries := 0
	h.stores[1].onPut(func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) {
		tries++
		return []rpc.PutStatus{rpc.PutStatus_NOT_OWNER, rpc.PutStatus_FAILED, rpc.PutStatus_STORED}[tries-1], nil
	})
	answer := h.send("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "9000")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	for _, put := range h.stores[1].received() {
		must.Eq(t, answer.header.Get("X-Msg-Id"), put.Messages[0].Name)
	}
}

func TestKeyedMessageOfUnreachableOwnerIsRefusedEarly(t *testing.T) {
	h := newHarness(t)
	h.stores[0].server.Close()
	began := time.Now()
	mustBeUnavailable(t, h.send("POST", "/keyed/x", "x", "X-Order-Key", h.keyOwnedBy(h.stores[0]), "X-Deadline-Ms", "9000"))
	must.Less(t, 4*time.Second, time.Since(began)) // far below the deadline
}

func TestKeyedMessageRejectedByAllIsRefusedAtDeadline(t *testing.T) {
	h := newHarness(t)
	for _, store := range h.stores {
		store.onPut(answering(rpc.PutStatus_NOT_OWNER))
	}
	mustBeUnavailable(t, h.send("POST", "/keyed/x", "x", "X-Order-Key", "k", "X-Deadline-Ms", "200"))
}

func TestBrokenConnectionLeavesTheOutcomeUnknown(t *testing.T) {
	h := newHarness(t)
	for _, store := range h.stores {
		store.onPut(func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) {
			store.server.CloseClientConnections()
			return rpc.PutStatus_STORED, nil
		})
	}
	answer := h.send("POST", "/keyed/x", "x", "X-Order-Key", "k", "X-Deadline-Ms", "250")
	must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status)
}

func TestClientDeadlineIsMet(t *testing.T) {
	h := newHarness(t)
	for _, store := range h.stores {
		store.onPut(store.blockPut)
	}
	began := time.Now()
	must.Eq(t, fasthttp.StatusGatewayTimeout, h.send("POST", "/free/x", "x", "X-Deadline-Ms", "300").status)
	must.Less(t, 2*time.Second, time.Since(began))
}

func TestTimedOutOwnerIsBypassedWithoutHedgeBudget(t *testing.T) {
	h := newHarness(t)
	for h.dispatcher.hedges.spend() {
	}
	h.stores[0].onPut(h.stores[0].blockPut)
	began := time.Now()
	must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/free/x", "x", "X-Deadline-Ms", "9000").status)
	must.GreaterEq(t, storeTimeout, time.Since(began))
	must.Eq(t, 2, h.puts(rpc.PutMode_HOLDER))
}

func TestMessageWithoutStoreResponseIsAbandonedEarly(t *testing.T) {
	for _, key := range []string{"", "k"} {
		h := newHarness(t)
		for _, store := range h.stores {
			store.onPut(store.blockPut)
		}
		began := time.Now()
		answer := h.send("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "8000")
		must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status) // it may have been stored, so not 503
		must.Less(t, 4*time.Second, time.Since(began))           // less than half of the client's deadline
	}
}

// Only an owner orders the messages of a key, so the message waits for a successor within the client's deadline.
func TestKeyedMessageWaitsForNextOwner(t *testing.T) {
	h := newHarness(t)
	silent, next := h.stores[1], h.stores[0]
	silent.onPut(silent.blockPut)
	key := h.keyOwnedBy(silent)
	answer := h.sendAsync("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "3000")
	silent.awaitPut(t)
	const late = 1500 * time.Millisecond // longer than maxUnansweredFraction of the deadline
	time.AfterFunc(late, func() { h.publishMap(9, func(int) *fakeStore { return next }) })
	must.Eq(t, fasthttp.StatusAccepted, (<-answer).status)
}

func TestMessageOfRespondingOwnerIsNotAbandoned(t *testing.T) {
	h := newHarness(t)
	key := h.keyOwnedBy(h.stores[1])
	began := time.Now()
	h.stores[1].onPut(func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) {
		if time.Since(began) < 500*time.Millisecond { // longer than maxUnansweredFraction of the deadline
			return rpc.PutStatus_NOT_OWNER, nil
		}
		return rpc.PutStatus_STORED, nil
	})
	answer := h.send("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "1000")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
}

// A rate limit is applied on delivery, so only an order key binds a message to its owner.
func TestRateLimitedMessageBypassesUnresponsiveOwner(t *testing.T) {
	h := newHarness(t)
	partition := message.PartitionForKey("rated", testPartitions)
	owner := h.ownerOf(messageName(partition, 0))
	owner.onPut(owner.blockPut)
	answer := h.send("POST", "/rated/x", "x", "X-Deadline-Ms", "9000")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	kept, ok := partitionOf(answer.header.Get("X-Msg-Id"))
	must.True(t, ok)
	must.Eq(t, partition, kept)
	must.Eq(t, 2, h.puts(rpc.PutMode_HOLDER))
}

func TestRateLimitedMessageBypassesUnreachableOwner(t *testing.T) {
	h := newHarness(t)
	owner := h.ownerOf(messageName(message.PartitionForKey("rated", testPartitions), 0))
	owner.server.Close()
	for range 3 {
		must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/rated/x", "x", "X-Deadline-Ms", "9000").status)
	}
	must.Eq(t, 6, h.puts(rpc.PutMode_HOLDER))
	must.Eq(t, 0, h.puts(rpc.PutMode_OWNER))
}

func TestRateLimitedMessageIsRefusedWithTooFewReachableStores(t *testing.T) {
	h := newHarness(t)
	owner := h.ownerOf(messageName(message.PartitionForKey("rated", testPartitions), 0))
	left := 1
	for _, store := range h.stores {
		if store != owner && left > 0 {
			left--
			continue
		}
		store.server.Close()
		h.dispatcher.health.recordRefused(store.member.Address)
	}
	mustBeUnavailable(t, h.send("POST", "/rated/x", "x"))
	must.Eq(t, 0, h.puts(rpc.PutMode_HOLDER))
}
