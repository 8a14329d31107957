package main

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

const leads = `{"address":"10.0.0.1:1","leader":true,"epoch":4}`

// TestBrokenResponsesAreNoStatus checks that a response that HTTP does not allow neither tells a status nor confirms or refuses an order.
func TestBrokenResponsesAreNoStatus(t *testing.T) {
	for _, broken := range append(responsetest.Broken(), responsetest.SpoiltBodies()...) {
		t.Run(broken.Name, func(t *testing.T) {
			address := func() string { // of a server of its own for each call, because a server ends its connections
				return responsetest.Serve(t, broken.Apply(responsetest.Response(http.StatusOK, leads))).Address
			}
			status, err := askStatus(context.Background(), address())
			must.Error(t, err)
			must.Nil(t, status)
			must.Error(t, abandon(context.Background(), []string{address()}, "store-1"))
			_, code, err := order(context.Background(), "http://"+address()+"/")
			must.Error(t, err)
			must.Zero(t, code)
		})
	}
}

func TestUnusualResponsesAreTaken(t *testing.T) {
	for _, sound := range responsetest.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			answered := sound.Apply(responsetest.Response(http.StatusOK, leads))
			status, err := askStatus(context.Background(), responsetest.Serve(t, answered).Address)
			must.NoError(t, err)
			must.True(t, status.Leader)
			must.NoError(t, abandon(context.Background(), []string{responsetest.Serve(t, answered).Address}, "store-1"))
		})
	}
}

func TestStatusThatIsCutShortIsNotTaken(t *testing.T) {
	whole := responsetest.Response(http.StatusOK, leads+"  ")
	_, err := askStatus(context.Background(), responsetest.Serve(t, whole[:len(whole)-2]).Address)
	must.Error(t, err)
}
