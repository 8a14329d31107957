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
	retryAfterS    = "1"     // seconds, for the Retry-After header
	maxBodyBytes   = 8 << 20 // of a request
	headerLocation = "Location"
)

// errorResponse is the body of a response other than a success.
type errorResponse struct {
	Error string `json:"error"`
}

// okResponse is the body of an acknowledgement.
type okResponse struct {
	Version uint64 `json:"version,omitempty"`
}

// writeJSON writes a response with a JSON body.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(errors.Wrap(err, "encode a response: report this as a defect"))
	}
	writeRaw(writer, status, encoded)
}

func writeRaw(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", jsonType)
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // a disconnected caller sends its request again
}

func writeError(writer http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", retryAfterS)
	}
	writeJSON(writer, status, errorResponse{Error: reason})
}

// redirectToLeader responds to a caller that only the leader can serve: 307 if the leader is known, else 503.
// It reads the request body first, because closing a connection with unread data may discard the response.
func (s *Server) redirectToLeader(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	leader := s.remoteLeader()
	if leader == "" {
		writeError(writer, http.StatusServiceUnavailable, "no leader is known: retry or use another control process")
		return
	}
	writer.Header().Set(watch.LeaderHeader, leader)
	writer.Header().Set(headerLocation, "http://"+leader+request.URL.RequestURI())
	writeJSON(writer, http.StatusTemporaryRedirect, errorResponse{Error: "not the leader: use " + leader})
}

// leaderOnly wraps a handler so that callers are redirected unless this process leads.
func (s *Server) leaderOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !s.state.leading() {
			s.redirectToLeader(writer, request)
			return
		}
		handler(writer, request)
	}
}

// respond writes the outcome of a change or a read. A majority has confirmed a definite outcome after the request arrived
// (see replicatedState.readLatest and change); the check of the lease is an additional safeguard.
func (s *Server) respond(writer http.ResponseWriter, request *http.Request, err error, success any) {
	var requestError *RequestError
	var notLeader failover.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		s.redirectToLeader(writer, request)
	case err == nil && s.state.leading():
		writeJSON(writer, http.StatusOK, success)
	case errors.As(err, &requestError) && s.state.leading():
		writeError(writer, requestError.Status, requestError.Reason)
	default:
		s.log.V(1).Info("the outcome of a request is unknown", "error", errorText(err))
		writeError(writer, http.StatusGatewayTimeout, "the outcome is unknown: send the same request again")
	}
}

func errorText(err error) string {
	if err == nil {
		return "the leader's lease ended"
	}
	return err.Error()
}
