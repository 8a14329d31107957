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

// A version is confirmed exactly where one of the newest answers was asked for within the bound and named nothing newer.
func TestConfirmationsAgreeWithAllAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var confirmations Confirmations
		var answers []confirmation
		now, newest := time.Now(), uint64(0)
		for step := range rapid.IntRange(0, maxConfirmations).Draw(t, "answers") {
			newest += rapid.Uint64Range(0, 3).Draw(t, "changes")
			asked := now.Add(time.Duration(step-maxConfirmations) * time.Hour)
			answers = append(answers, confirmation{version: newest, asked: asked})
			confirmations.Record(newest, asked)
		}
		for version := range newest + 2 {
			bound := time.Duration(rapid.IntRange(0, maxConfirmations).Draw(t, "bound"))*time.Hour + 30*time.Minute
			expected := false
			for _, answer := range answers {
				expected = expected || answer.version <= version && now.Sub(answer.asked) < bound
			}
			must.EqOp(t, expected, confirmations.ConfirmedWithin(version, bound))
		}
	})
}

func TestNothingIsConfirmedBeforeTheFirstAnswer(t *testing.T) {
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

func TestConfirmationEndsWithItsBound(t *testing.T) {
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

func TestConfirmBoundStaysBelowTheOneOfTheSettings(t *testing.T) {
	bounded := func(milliseconds float64) time.Duration {
		return ConfirmationTTL(&settings.Settings{Bounds: settings.Bounds{ConfigApplyMs: milliseconds}})
	}
	must.EqOp(t, 4*time.Second-confirmMargin, bounded(4000))
	must.EqOp(t, 100*time.Millisecond, bounded(200))
	must.EqOp(t, defaultApplyBound-confirmMargin, bounded(0))
}

// A client confirms what a leader named, once it holds that.
func TestConfigurationIsConfirmedByTheAnswersToRenewals(t *testing.T) {
	control := newControl(t)
	control.newest = 3
	client := start(t, Options{}, control.address())
	confirmed := func(version uint64, wanted bool) {
		t.Helper()
		client.Kick()
		must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
			if client.ConfigConfirmed(version) != wanted {
				return fmt.Errorf("version %d: confirmed %t", version, !wanted)
			}
			return nil
		}), wait.Timeout(testPatience), wait.Gap(time.Millisecond)))
	}
	confirmed(3, true)
	must.False(t, client.ConfigConfirmed(2))
	control.set(func(control *standInControl) { control.newest = 4 })
	control.publish(t, &rpc.View{LeaderEpoch: 1, Map: &rpc.MapView{Version: 1}})
	confirmed(4, true)
}

// Dispatchers renew often enough, whatever their heartbeat is.
func TestRenewalsConfirmTheConfigurationTwiceWithinItsBound(t *testing.T) {
	options := Options{Role: RoleDispatcher, Settings: &settings.Settings{HeartbeatMs: 60000, Bounds: settings.Bounds{ConfigApplyMs: 4000}}}
	must.EqOp(t, ConfirmationTTL(options.Settings)/2, options.renewInterval())
	options.Settings.HeartbeatMs = 1200
	must.EqOp(t, 1200*time.Millisecond, options.renewInterval())
}

// What a leader names it knew when it was asked, however long its answer takes.
func TestConfirmationCountsFromTheSendingOfTheRenewal(t *testing.T) {
	control := newControl(t)
	control.silent = true // nothing else is answered
	client := start(t, Options{}, control.address())
	reply := &rpc.RenewReply{Leader: true, Granted: true, ConfigVersion: 3}
	client.takeReply(control.address(), reply, time.Now().Add(-ConfirmationTTL(client.Settings())))
	must.False(t, client.ConfigConfirmed(3))
	client.takeReply(control.address(), reply, time.Now())
	must.True(t, client.ConfigConfirmed(3))
}
