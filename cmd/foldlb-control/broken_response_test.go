package main

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

const leads = `{"address":"10.0.0.1:1","leader":true,"epoch":4}`

func TestStatusThatIsCutShortIsNotTaken(t *testing.T) {
	whole := responsetest.Response(http.StatusOK, leads+"  ")
	_, err := askStatus(context.Background(), responsetest.Serve(t, whole[:len(whole)-2]).Address)
	must.Error(t, err)
}
