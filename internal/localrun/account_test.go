package localrun

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/settings"
)

// accountAt returns an account that asks a dispatcher which answers every state as given, and bodies as "body".
func accountAt(t *testing.T, state string) *account {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/api/message-body/") {
			_, _ = writer.Write([]byte("body"))
			return
		}
		_, _ = writer.Write([]byte(state))
	}))
	t.Cleanup(server.Close)
	wanted := &settings.Settings{Listen: settings.Listen{Front: strings.TrimPrefix(server.URL, "http://")}}
	return newAccount(NewLedger(), newEntry([]*process{{settings: wanted}}))
}

func TestTheAccountHoldsStatesAgainstTheWorkers(t *testing.T) {
	success := []*Attempt{ran(0, 1, statusSuccess)}
	refusal := []*Attempt{ran(0, 1, statusNever)}
	tests := []struct {
		name   string
		state  string
		body   string
		runs   []*Attempt
		broken int
	}{
		{"completed", `{"state":"completed","stamp":"s"}`, "", success, 0},
		{"completed with another's stamp", `{"state":"completed","stamp":"x"}`, "", success, 1},
		{"completed without a run", `{"state":"completed","stamp":""}`, "", nil, 1},
		{"dead with a reason", `{"state":"dead_letter"}`, "body", refusal, 0},
		{"dead with other bytes", `{"state":"dead_letter"}`, "other", refusal, 1},
		{"dead without a reason", `{"state":"dead_letter"}`, "body", nil, 1},
		{"dead after a success", `{"state":"dead_letter"}`, "body", success, 1},
		{"never ended", `{"state":"queued"}`, "", nil, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := accountAt(t, test.state)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if test.name == "never ended" {
				cancel()
			}
			a.run(ctx, []*Message{{ID: "a", Name: "n", Body: []byte(test.body), Runs: test.runs}})
			must.Len(t, test.broken, a.broken)
		})
	}
}
