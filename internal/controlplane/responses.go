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

// errorResponse is the body of an answer that is not a success.
type errorResponse struct {
	Error string `json:"error"`
}

// okResponse is the body of an acknowledgement.
type okResponse struct {
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

func writeError(writer http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", retryAfterS)
	}
	writeJSON(writer, status, errorResponse{Error: reason})
}

// redirectToLeader answers a caller that this process can't serve: 307 where the leader is known, else 503.
// The body is read first, because a connection closed with unread bytes may lose the answer.
func (s *Server) redirectToLeader(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	leader := s.remoteLeader()
	if leader == "" {
		writeError(writer, http.StatusServiceUnavailable, "no leader is known: try again or try another control process")
		return
	}
	writer.Header().Set(watch.LeaderHeader, leader)
	writer.Header().Set(headerLocation, "http://"+leader+request.URL.RequestURI())
	writeJSON(writer, http.StatusTemporaryRedirect, errorResponse{Error: "not the leader: ask " + leader})
}

// leaderOnly sends callers on unless this process leads.
func (s *Server) leaderOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !s.state.leading() {
			s.redirectToLeader(writer, request)
			return
		}
		handler(writer, request)
	}
}

// answer gives the outcome of an order or a read. A clear one was confirmed by a majority after the request came (see
// replicatedState.newest and change); that the lease is valid now is a second guard.
func (s *Server) respond(writer http.ResponseWriter, request *http.Request, err error, success any) {
	var requestError *RequestError
	var notLeader failover.NotLeader
	switch {
	case errors.As(err, &notLeader):
		s.redirectToLeader(writer, request)
	case err == nil && s.state.leading():
		writeJSON(writer, http.StatusOK, success)
	case errors.As(err, &requestError) && s.state.leading():
		writeError(writer, requestError.Status, requestError.Reason)
	default:
		s.log.V(1).Info("an order has no clear outcome", "error", errorText(err))
		writeError(writer, http.StatusGatewayTimeout, "the outcome is not known: send the same order again")
	}
}

func errorText(err error) string {
	if err == nil {
		return "the lease ended"
	}
	return err.Error()
}
