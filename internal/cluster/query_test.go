package cluster

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestOnlyStoresAskForTheListOfWorkers(t *testing.T) {
	dispatcher := &Client{options: Options{Role: RoleDispatcher}}
	store := &Client{options: Options{Role: RoleStore}}
	must.Eq(t, "?deltas=true&without=3", dispatcher.streamQuery())
	must.Eq(t, "?deltas=true", store.streamQuery())
}

func TestDialsFollowTheDistance(t *testing.T) {
	must.Eq(t, nearDialTimeout, dialTimeoutFor(map[string]string{"a": "north", "b": "north"}))
	must.Eq(t, farDialTimeout, dialTimeoutFor(map[string]string{"a": "north", "b": "south"}))
	must.Less(t, renewTimeout, farDialTimeout)
}
