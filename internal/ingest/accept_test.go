package ingest

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
)

var catalogLimits = catalog.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

func TestStoredMessageIsAcceptedUnderItsName(t *testing.T) {
	w := newWorld(t)
	answer := w.send("PUT", "/free/x?q=%20a&b", "the bytes", "X-Request-Id", "id-1", "X-Delay-Ms", "1500", "X-Order-Key", "ignored")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	name := answer.header.Get("X-Msg-Id")
	must.True(t, w.ownerOf(name) == w.stores[0], must.Sprint("the owner is not one of our zone"))
	put := w.stores[0].received()[0]
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
	must.Eq(t, 1, w.puts(rpc.PutMode_OWNER))
}

func TestNothingIsTakenWithoutARoute(t *testing.T) {
	w := newWorld(t)
	for _, path := range []string{"/none/", "/free", "/sync/x", "/"} {
		must.Eq(t, fasthttp.StatusNotFound, w.send("POST", path, "x").status)
	}
	must.Eq(t, 0, w.puts(rpc.PutMode_OWNER))
}

func TestNothingIsTakenBeforeAConfiguration(t *testing.T) {
	mustRefuse(t, emptyWorld(t).send("POST", "/free/x", "x"))
}

func TestNothingIsTakenWithoutOwners(t *testing.T) {
	w := newWorld(t)
	w.publishMap(11, func(int) *standInStore { return nil })
	mustRefuse(t, w.send("POST", "/free/x", "x"))
	mustRefuse(t, w.send("POST", "/keyed/x", "x", "X-Order-Key", "k"))
}

func TestMessagesOfAKeyShareAPartition(t *testing.T) {
	w := newWorld(t)
	for _, key := range []string{"a", "b", "a", "c"} {
		name := w.send("POST", "/keyed/x", "x", "X-Order-Key", key).header.Get("X-Msg-Id")
		partition, ok := partitionOf(name)
		must.True(t, ok)
		must.Eq(t, hashPartition(key, testPartitions), partition)
	}
}

func TestMessagesOfARatedServiceShareAPartition(t *testing.T) {
	w := newWorld(t)
	for _, key := range []string{"a", "", "b"} {
		name := w.send("POST", "/rated/x", "x", "X-Order-Key", key).header.Get("X-Msg-Id")
		partition, ok := partitionOf(name)
		must.True(t, ok)
		must.Eq(t, hashPartition("rated", testPartitions), partition)
	}
}

func TestFreeMessageMovesFromAnOwnerThatDidNotTakeIt(t *testing.T) {
	for _, status := range []rpc.PutStatus{rpc.PutStatus_NOT_OWNER, rpc.PutStatus_STALE_EPOCH, rpc.PutStatus_FULL} {
		t.Run(status.String(), func(t *testing.T) {
			w := newWorld(t)
			w.stores[0].onPut(answering(status))
			answer := w.send("POST", "/free/x", "x")
			must.Eq(t, fasthttp.StatusAccepted, answer.status)
			must.True(t, w.ownerOf(answer.header.Get("X-Msg-Id")) != w.stores[0])
			must.Eq(t, 2, w.puts(rpc.PutMode_OWNER))
		})
	}
}

func TestFreeMessageMovesFromAMachineThatRefuses(t *testing.T) {
	w := newWorld(t)
	w.stores[0].server.Close()
	for range 3 {
		must.Eq(t, fasthttp.StatusAccepted, w.send("POST", "/free/x", "x").status)
	}
	must.True(t, w.dispatcher.health.unreachable(w.stores[0].member.Address))
}

func TestFullStoresRefuse(t *testing.T) {
	w := newWorld(t)
	for _, store := range w.stores {
		store.onPut(answering(rpc.PutStatus_FULL))
	}
	mustRefuse(t, w.send("POST", "/free/x", "x"))
	must.Eq(t, len(w.stores), w.puts(rpc.PutMode_OWNER))
	mustRefuse(t, w.send("POST", "/keyed/x", "x", "X-Order-Key", "k"))
}

func TestSilentOwnerIsGoneRound(t *testing.T) {
	w := newWorld(t)
	w.stores[0].onPut(w.stores[0].silence)
	answer := w.send("POST", "/free/x", "x")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	name := answer.header.Get("X-Msg-Id")
	must.True(t, w.ownerOf(name) == w.stores[0])
	must.Eq(t, 2, w.puts(rpc.PutMode_HOLDER))
	for _, store := range w.stores[1:] {
		for _, put := range store.received() {
			must.Eq(t, name, put.Messages[0].Name)
			must.Eq(t, []uint64{10}, put.Epochs)
		}
	}
}

func TestAnotherHolderStandsInForOneThatFails(t *testing.T) {
	w := newWorld(t)
	w.stores[0].onPut(answering(rpc.PutStatus_FAILED))
	w.stores[1].onPut(answering(rpc.PutStatus_FULL))
	must.Eq(t, fasthttp.StatusAccepted, w.send("POST", "/free/x", "x").status)
	must.SliceNotEmpty(t, w.stores[2].received())
	must.SliceNotEmpty(t, w.stores[3].received())
}

func TestTooFewHoldersLeaveTheOutcomeUnknown(t *testing.T) {
	w := newWorld(t)
	w.stores[0].onPut(w.stores[0].silence)
	w.stores[1].onPut(answering(rpc.PutStatus_FULL))
	w.stores[2].onPut(answering(rpc.PutStatus_FAILED))
	answer := w.send("POST", "/free/x", "x", "X-Deadline-Ms", "250")
	must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status)
}

func TestHolderWithANewerEpochSendsToTheNewOwner(t *testing.T) {
	w := newWorld(t)
	w.stores[0].onPut(w.stores[0].silence)
	for _, store := range w.stores[1:] {
		store.onPut(func(_ context.Context, put *rpc.PutRequest) (rpc.PutStatus, error) {
			if put.Epochs[0] < 11 {
				return rpc.PutStatus_STALE_EPOCH, nil
			}
			return rpc.PutStatus_STORED, nil
		})
	}
	answers := w.sendAsync("POST", "/free/x", "x", "X-Deadline-Ms", "9000")
	first := w.stores[0].awaitPut(t)
	w.publishMap(11, func(int) *standInStore { return w.stores[1] })
	answer := <-answers
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	must.Eq(t, first.Messages[0].Name, answer.header.Get("X-Msg-Id"))
}

func TestKeyedMessageIsNeverWrittenRoundItsOwner(t *testing.T) {
	for _, path := range []string{"/keyed/x", "/rated/x"} {
		w := newWorld(t)
		for _, store := range w.stores {
			store.onPut(store.silence)
		}
		answer := w.send("POST", path, "x", "X-Order-Key", "k", "X-Deadline-Ms", "250")
		must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status)
		must.Eq(t, 0, w.puts(rpc.PutMode_HOLDER))
		must.Eq(t, 1, w.puts(rpc.PutMode_OWNER))
	}
}

func TestKeyedMessageIsRepeatedAtTheNewOwner(t *testing.T) {
	w := newWorld(t)
	key := w.keyOwnedBy(w.stores[0])
	w.stores[0].onPut(w.stores[0].silence)
	answers := w.sendAsync("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "9000")
	first := w.stores[0].awaitPut(t)
	w.publishMap(11, func(int) *standInStore { return w.stores[2] })
	second := w.stores[2].awaitPut(t)
	must.Eq(t, first.Messages[0].Name, second.Messages[0].Name)
	must.Eq(t, []uint64{11}, second.Epochs)
	must.Eq(t, fasthttp.StatusAccepted, (<-answers).status)
}

func TestKeyedMessageIsRepeatedUntilTheOwnerKnowsThatItIs(t *testing.T) {
	w := newWorld(t)
	key := w.keyOwnedBy(w.stores[1])
	tries := 0
	w.stores[1].onPut(func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) {
		tries++
		return []rpc.PutStatus{rpc.PutStatus_NOT_OWNER, rpc.PutStatus_FAILED, rpc.PutStatus_STORED}[tries-1], nil
	})
	answer := w.send("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "9000")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	for _, put := range w.stores[1].received() {
		must.Eq(t, answer.header.Get("X-Msg-Id"), put.Messages[0].Name)
	}
}

func TestKeyedMessageOfAnOwnerThatRefusesIsRefusedSoon(t *testing.T) {
	w := newWorld(t)
	w.stores[0].server.Close()
	began := time.Now()
	mustRefuse(t, w.send("POST", "/keyed/x", "x", "X-Order-Key", w.keyOwnedBy(w.stores[0]), "X-Deadline-Ms", "9000"))
	must.Less(t, 4*time.Second, time.Since(began)) // far below the deadline
}

func TestDisownedKeyedMessageIsRefusedAtTheDeadline(t *testing.T) {
	w := newWorld(t)
	for _, store := range w.stores {
		store.onPut(answering(rpc.PutStatus_NOT_OWNER))
	}
	mustRefuse(t, w.send("POST", "/keyed/x", "x", "X-Order-Key", "k", "X-Deadline-Ms", "200"))
}

func TestBrokenConnectionLeavesTheOutcomeUnknown(t *testing.T) {
	w := newWorld(t)
	for _, store := range w.stores {
		store.onPut(func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) {
			store.server.CloseClientConnections()
			return rpc.PutStatus_STORED, nil
		})
	}
	answer := w.send("POST", "/keyed/x", "x", "X-Order-Key", "k", "X-Deadline-Ms", "250")
	must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status)
}

func TestDeadlineOfTheClientIsKept(t *testing.T) {
	w := newWorld(t)
	for _, store := range w.stores {
		store.onPut(store.silence)
	}
	began := time.Now()
	must.Eq(t, fasthttp.StatusGatewayTimeout, w.send("POST", "/free/x", "x", "X-Deadline-Ms", "300").status)
	must.Less(t, 2*time.Second, time.Since(began))
}

func TestLateOwnerIsGoneRoundWithoutBudgetOnceItIsSilent(t *testing.T) {
	w := newWorld(t)
	for w.dispatcher.hedges.spend() {
	}
	w.stores[0].onPut(w.stores[0].silence)
	began := time.Now()
	must.Eq(t, fasthttp.StatusAccepted, w.send("POST", "/free/x", "x", "X-Deadline-Ms", "9000").status)
	must.GreaterEq(t, silenceBound, time.Since(began))
	must.Eq(t, 2, w.puts(rpc.PutMode_HOLDER))
}

func TestMessageThatNoStoreAnswersForIsGivenUpInGoodTime(t *testing.T) {
	for _, path := range []string{"/free/x", "/keyed/x"} {
		w := newWorld(t)
		for _, store := range w.stores {
			store.onPut(store.silence)
		}
		began := time.Now()
		answer := w.send("POST", path, "x", "X-Order-Key", "k", "X-Deadline-Ms", "8000")
		must.Eq(t, fasthttp.StatusGatewayTimeout, answer.status) // it may have been stored: never a promise
		must.Less(t, 4*time.Second, time.Since(began))           // before half of the client's time
	}
}

// Only an owner orders the messages of a key: one that falls silent may have a successor within the client's time.
func TestKeyedMessageWaitsForTheNextOwnerOfItsPartition(t *testing.T) {
	w := newWorld(t)
	silent, next := w.stores[1], w.stores[0]
	silent.onPut(silent.silence)
	key := w.keyOwnedBy(silent)
	answer := w.sendAsync("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "3000")
	silent.awaitPut(t)
	const late = 1500 * time.Millisecond // more than silentPart of the time
	time.AfterFunc(late, func() { w.publishMap(9, func(int) *standInStore { return next }) })
	must.Eq(t, fasthttp.StatusAccepted, (<-answer).status)
}

func TestOwnerThatAnswersIsNotGivenUpOn(t *testing.T) {
	w := newWorld(t)
	key := w.keyOwnedBy(w.stores[1])
	began := time.Now()
	w.stores[1].onPut(func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) {
		if time.Since(began) < 500*time.Millisecond { // more than silentPart of the time
			return rpc.PutStatus_NOT_OWNER, nil
		}
		return rpc.PutStatus_STORED, nil
	})
	answer := w.send("POST", "/keyed/x", "x", "X-Order-Key", key, "X-Deadline-Ms", "1000")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
}

// A rate is spent when a message is run, so only an order binds a message to its owner.
func TestRatedMessageGoesRoundASilentOwner(t *testing.T) {
	w := newWorld(t)
	partition := hashPartition("rated", testPartitions)
	owner := w.ownerOf(messageName(partition, 0))
	owner.onPut(owner.silence)
	answer := w.send("POST", "/rated/x", "x", "X-Deadline-Ms", "9000")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	kept, ok := partitionOf(answer.header.Get("X-Msg-Id"))
	must.True(t, ok)
	must.Eq(t, partition, kept)
	must.Eq(t, 2, w.puts(rpc.PutMode_HOLDER))
}

func TestRatedMessageGoesRoundAnOwnerThatCanNotBeReached(t *testing.T) {
	w := newWorld(t)
	owner := w.ownerOf(messageName(hashPartition("rated", testPartitions), 0))
	owner.server.Close()
	for range 3 {
		must.Eq(t, fasthttp.StatusAccepted, w.send("POST", "/rated/x", "x", "X-Deadline-Ms", "9000").status)
	}
	must.Eq(t, 6, w.puts(rpc.PutMode_HOLDER))
	must.Eq(t, 0, w.puts(rpc.PutMode_OWNER))
}

func TestRatedMessageIsRefusedWhereTooFewStoresCanBeReached(t *testing.T) {
	w := newWorld(t)
	owner := w.ownerOf(messageName(hashPartition("rated", testPartitions), 0))
	left := 1
	for _, store := range w.stores {
		if store != owner && left > 0 {
			left--
			continue
		}
		store.server.Close()
		w.dispatcher.health.refused(store.member.Address)
	}
	mustRefuse(t, w.send("POST", "/rated/x", "x"))
	must.Eq(t, 0, w.puts(rpc.PutMode_HOLDER))
}
