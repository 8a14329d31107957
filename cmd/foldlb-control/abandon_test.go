package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// answeringServer answers every order with a status, and notes their paths.
func answeringServer(t *testing.T, status int, text string) (address string, paths *[]string) {
	paths = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		*paths = append(*paths, request.Method+" "+request.URL.EscapedPath())
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(text))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), paths
}

func TestAbandonAsksTheNextProcessAfterAFault(t *testing.T) {
	down, _ := answeringServer(t, http.StatusServiceUnavailable, "no leader")
	leader, paths := answeringServer(t, http.StatusOK, "{}")
	must.NoError(t, abandon(t.Context(), []string{down, leader}, "store a/1"))
	must.Eq(t, []string{"POST /internal/stores/store%20a%2F1/abandon"}, *paths)
	must.ErrorContains(t, abandon(t.Context(), []string{down}, "s"), "no leader")
}

func TestRefusalToAbandonIsFinal(t *testing.T) {
	refuses, _ := answeringServer(t, http.StatusConflict, "it holds a lease")
	other, paths := answeringServer(t, http.StatusOK, "{}")
	must.ErrorContains(t, abandon(t.Context(), []string{refuses, other}, "s"), "holds a lease")
	must.SliceEmpty(t, *paths)
}

func TestAbandonNeedsConsent(t *testing.T) {
	must.ErrorContains(t, abandonCommand().Run(t.Context(), []string{"abandon", "s"}), "--messages-may-be-lost")
	must.ErrorContains(t, abandonCommand().Run(t.Context(), []string{"abandon", "--messages-may-be-lost"}), "name one store")
}
