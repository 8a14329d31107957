package controlplane

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/coord/watch"
)

const (
	jsonType       = "application/json"
	retryAfterS    = "1"        // seconds, in Retry-After
	maxBodyBytes   = 8 << 20    // of an order
	headerLocation = "Location" // where a caller is to go
)

// faultAnswer is the body of an answer that is not a success.
type faultAnswer struct {
	Error string `json:"error"`
}

// okAnswer is the body of an acknowledgement.
type okAnswer struct {
	Version uint64 `json:"version,omitempty"`
}

// writeJSON answers with a JSON body.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(errors.Wrap(err, "an answer can't be encoded: report this as a defect"))
	}
	writeRaw(writer, status, encoded)
}

func writeRaw(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", jsonType)
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // a caller that is gone asks again
}

func writeFault(writer http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", retryAfterS)
	}
	writeJSON(writer, status, faultAnswer{Error: reason})
}

// sendToLeader answers a caller that this process can't serve: 307 where the leader is known, else 503.
// The body is read first, because a connection closed with unread bytes may lose the answer.
func (s *Server) sendToLeader(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	leader := s.otherLeader()
	if leader == "" {
		writeFault(writer, http.StatusServiceUnavailable, "no leader is known: try again or try another control process")
		return
	}
	writer.Header().Set(watch.LeaderHeader, leader)
	writer.Header().Set(headerLocation, "http://"+leader+request.URL.RequestURI())
	writeJSON(writer, http.StatusTemporaryRedirect, faultAnswer{Error: "not the leader: ask " + leader})
}

// leaderOnly sends callers on unless this process leads.
func (s *Server) leaderOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !s.state.leading() {
			s.sendToLeader(writer, request)
			return
		}
		handler(writer, request)
	}
}

// answer gives the outcome of an order or a read. A clear one was confirmed by a majority after the request came (see
// replicatedState.newest and change); that the lease is valid now is a second guard.
func (s *Server) answer(writer http.ResponseWriter, request *http.Request, outcome error, success any) {
	var refusal *Refusal
	var notLeader failover.NotLeaderError
	switch {
	case errors.As(outcome, &notLeader):
		s.sendToLeader(writer, request)
	case outcome == nil && s.state.leading():
		writeJSON(writer, http.StatusOK, success)
	case errors.As(outcome, &refusal) && s.state.leading():
		writeFault(writer, refusal.Status, refusal.Reason)
	default:
		s.log.V(1).Info("an order has no clear outcome", "error", errorText(outcome))
		writeFault(writer, http.StatusGatewayTimeout, "the outcome is not known: send the same order again")
	}
}

func errorText(err error) string {
	if err == nil {
		return "the lease ended"
	}
	return err.Error()
}
