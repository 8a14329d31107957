package controlplane

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	replacePath = "/api/config/replace"
	updatePath  = "/api/config/update"
	readPath    = "/api/config/read"
)

func TestRejectedRequestsAreNotApplied(t *testing.T) {
	c := newCluster(t, 3, nil)
	server := c.leader()
	post := func(path, ifVersion, body string) int {
		return c.callUntilDefinite(server, http.MethodPost, path, ifVersion, body).status
	}
	must.Eq(t, http.StatusNotFound, c.callUntilDefinite(server, http.MethodGet, readPath, "", "").status)
	must.Eq(t, http.StatusOK, post(replacePath, "0", configWith(5, "a")))

	must.Eq(t, http.StatusPreconditionFailed, post(replacePath, "0", configWith(6, "a")))
	must.Eq(t, http.StatusPreconditionFailed, post(updatePath, "4", `{"version":9}`))
	must.Eq(t, http.StatusBadRequest, post(replacePath, "5", configWith(5, "b")))
	must.Eq(t, http.StatusBadRequest, post(replacePath, "5", configWith(6, "a")[1:]))
	must.Eq(t, http.StatusBadRequest, post(replacePath, "5", configWith(6, "a", "a")))
	must.Eq(t, http.StatusBadRequest, post(replacePath, "5", strings.Replace(configWith(6, "a"), `"service":"s"`, `"service":"none"`, 1)))
	must.Eq(t, http.StatusBadRequest, post(replacePath, "5", strings.Replace(configWith(6, "a"), `"timeoutMs":600`, `"timeoutMs":0`, 1)))
	must.Eq(t, http.StatusBadRequest, post(replacePath, "", configWith(6, "a")))
	must.Eq(t, http.StatusBadRequest, post(updatePath, "5", `{"version":5}`))
	must.Eq(t, http.StatusRequestEntityTooLarge, post(replacePath, "5", strings.Repeat(" ", maxBodyBytes+1)))
	must.Eq(t, configWith(5, "a"), c.callUntilDefinite(server, http.MethodGet, readPath, "", "").body)

	update := fmt.Sprintf(`{"version":8,"upsert":{"routes":[%s]},"remove":{"routes":["a"]}}`, routeItem("c"))
	must.Eq(t, http.StatusOK, post(updatePath, "5", update))
	read := c.callUntilDefinite(server, http.MethodGet, readPath, "", "").body
	must.StrContains(t, read, `"c"`)
	must.StrContains(t, read, `"version":8`)
	must.StrNotContains(t, read, `"a"`)
}

func TestOrderSentAgainIsAcknowledgedByALaterLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	first := c.leader()
	old := configWith(5, "a")
	must.Eq(t, http.StatusOK, c.callUntilDefinite(first, http.MethodPost, replacePath, "0", old).status)
	must.Eq(t, http.StatusOK, c.callUntilDefinite(first, http.MethodPost, replacePath, "5", configWith(7, "b")).status)
	first.end()

	second := c.leader(first)
	must.Eq(t, http.StatusOK, c.callUntilDefinite(second, http.MethodPost, replacePath, "0", old).status)
	must.Eq(t, http.StatusPreconditionFailed,
		c.callUntilDefinite(second, http.MethodPost, replacePath, "0", configWith(5, "z")).status)
	must.Eq(t, configWith(7, "b"), c.callUntilDefinite(second, http.MethodGet, readPath, "", "").body)
}

func TestOneOfTheOrdersOnTheSameVersionWins(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.leader()
	const rounds, operators = 5, 6
	for round := range rounds {
		bodies := make([]string, operators)
		statuses := make([]int, operators)
		var sending sync.WaitGroup
		for operator := range operators {
			bodies[operator] = configWith(round+1, fmt.Sprintf("r%d-%d", round, operator))
			sending.Go(func() {
				server := c.servers[operator%len(c.servers)]
				answer := c.callUntilDefinite(server, http.MethodPost, replacePath, fmt.Sprint(round), bodies[operator])
				statuses[operator] = answer.status
			})
		}
		sending.Wait()
		winner := ""
		for operator, status := range statuses {
			if status == http.StatusOK {
				must.EqOp(t, "", winner)
				winner = bodies[operator]
				continue
			}
			must.EqOp(t, http.StatusPreconditionFailed, status)
		}
		must.EqOp(t, winner, c.callUntilDefinite(c.servers[0], http.MethodGet, readPath, "", "").body)
	}
}

func TestOnlyALeaderWithALeaseAnswersOrders(t *testing.T) {
	c := newCluster(t, 3, nil)
	leader := c.leader()
	for _, server := range c.servers {
		if server == leader {
			continue
		}
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, updatePath+"?q=1", strings.NewReader("{}"))
		server.Handler().ServeHTTP(recorder, request)
		must.EqOp(t, http.StatusTemporaryRedirect, recorder.Code)
		must.EqOp(t, "http://"+leader.address+updatePath+"?q=1", recorder.Header().Get(headerLocation))
	}
	survivor := c.servers[0]
	for _, server := range c.servers[1:] {
		server.end()
	}
	eventually(t, func() error {
		recorder := httptest.NewRecorder()
		survivor.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, readPath, nil))
		if recorder.Code != http.StatusServiceUnavailable {
			return fmt.Errorf("answered %d", recorder.Code)
		}
		must.EqOp(t, retryAfterS, recorder.Header().Get("Retry-After"))
		return nil
	})
}

func TestAppliedDigestsAreBounded(t *testing.T) {
	state := newReplicatedState(disklessNode{}).committed()
	var last configRequest
	for version := range maxAppliedDigests + 10 {
		last = newConfigRequest(requestReplace, uint64(version), []byte(configWith(version+1, "a")))
		prepared, err := last.prepare(state)
		must.NoError(t, err)
		must.NoError(t, prepared.apply(state))
	}
	must.Len(t, maxAppliedDigests, state.Taken)
	_, err := last.prepare(state)
	must.ErrorIs(t, err, errAlreadyApplied)
}
