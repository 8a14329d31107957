package cluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"pgregory.net/rapid"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// Compares ConfirmedWithin with a search through all recorded responses.
func TestConfirmationsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var confirmations Confirmations
		var answers []confirmation
		now, newest := time.Now(), uint64(0)
		for step := range rapid.IntRange(0, maxConfirmations).Draw(t, "answers") {
			newest += rapid.Uint64Range(0, 3).Draw(t, "changes")
			requestedAt := now.Add(time.Duration(step-maxConfirmations) * time.Hour)
			answers = append(answers, confirmation{version: newest, requestedAt: requestedAt})
			confirmations.Record(newest, requestedAt)
		}
		for version := range newest + 2 {
			bound := time.Duration(rapid.IntRange(0, maxConfirmations).Draw(t, "bound"))*time.Hour + 30*time.Minute
			expected := false
			for _, answer := range answers {
				expected = expected || answer.version <= version && now.Sub(answer.requestedAt) < bound
			}
			must.EqOp(t, expected, confirmations.ConfirmedWithin(version, bound))
		}
	})
}

func TestNothingIsConfirmedInitially(t *testing.T) {
	var confirmations Confirmations
	must.False(t, confirmations.ConfirmedWithin(7, time.Hour))
}

func TestConfirmationsAreBounded(t *testing.T) {
	var confirmations Confirmations
	for version := range uint64(10 * maxConfirmations) {
		confirmations.Record(version, time.Now())
	}
	must.SliceLen(t, maxConfirmations, confirmations.load())
}

func TestConfirmationExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var confirmations Confirmations
		confirmations.Record(1, time.Now())
		time.Sleep(time.Second - 1)
		must.True(t, confirmations.ConfirmedWithin(1, time.Second))
		must.False(t, confirmations.ConfirmedWithin(0, time.Second))
		time.Sleep(time.Nanosecond)
		must.False(t, confirmations.ConfirmedWithin(1, time.Second))
	})
}

func TestConfirmationTTLIsBelowConfigApplyTime(t *testing.T) {
	bounded := func(milliseconds float64) time.Duration {
		return ConfirmationTTL(&settings.Settings{Bounds: settings.Bounds{ConfigApplyMs: milliseconds}})
	}
	must.EqOp(t, 4*time.Second-confirmMargin, bounded(4000))
	must.EqOp(t, 100*time.Millisecond, bounded(200))
	must.EqOp(t, defaultConfigApplyTime-confirmMargin, bounded(0))
}

// A client confirms the version that the leader names, once it has it.
func TestRenewalsConfirmConfiguration(t *testing.T) {
	control := newFakeControl(t)
	control.newestConfig = 3
	client := startClient(t, Options{}, control.address())
	confirmed := func(version uint64, wanted bool) {
		t.Helper()
		client.Kick()
		must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
			if client.ConfigConfirmed(version) != wanted {
				return fmt.Errorf("version %d: confirmed %t", version, !wanted)
			}
			return nil
		}), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)))
	}
	confirmed(3, true)
	must.False(t, client.ConfigConfirmed(2))
	control.set(func(control *fakeControl) { control.newestConfig = 4 })
	control.publish(t, &rpc.View{LeaderEpoch: 1, Map: &rpc.MapView{Version: 1}})
	confirmed(4, true)
}

// Dispatchers must renew often enough regardless of their heartbeat.
func TestDispatcherRenewsTwiceWithinConfirmationTTL(t *testing.T) {
	options := Options{Role: RoleDispatcher, Settings: &settings.Settings{HeartbeatMs: 60000, Bounds: settings.Bounds{ConfigApplyMs: 4000}}}
	must.EqOp(t, ConfirmationTTL(options.Settings)/2, options.renewInterval())
	options.Settings.HeartbeatMs = 1200
	must.EqOp(t, 1200*time.Millisecond, options.renewInterval())
}

// A leader knew the named version when it was asked, however late its reply arrives.
func TestConfirmationCountsFromSendTime(t *testing.T) {
	control := newFakeControl(t)
	control.silent = true // no other renewal is answered
	client := startClient(t, Options{}, control.address())
	reply := &rpc.RenewReply{Leader: true, Granted: true, ConfigVersion: 3}
	client.handleRenewReply(control.address(), reply, time.Now().Add(-ConfirmationTTL(client.Settings())))
	must.False(t, client.ConfigConfirmed(3))
	client.handleRenewReply(control.address(), reply, time.Now())
	must.True(t, client.ConfigConfirmed(3))
}
