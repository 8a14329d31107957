package controlplane

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	headerIfVersion       = "X-If-Version"
	proposeTimeout        = 2500 * time.Millisecond // for committing one change; callers give up after about 1 s
	maxConcurrentRequests = 16                      // requests to change the configuration
)

// handleReplace replaces the whole configuration.
func (s *Server) handleReplace(writer http.ResponseWriter, request *http.Request) {
	s.handleConfigRequest(requestReplace, writer, request)
}

// handleUpdate changes named items of the configuration.
func (s *Server) handleUpdate(writer http.ResponseWriter, request *http.Request) {
	s.handleConfigRequest(requestUpdate, writer, request)
}

func (s *Server) handleConfigRequest(kind requestKind, writer http.ResponseWriter, request *http.Request) {
	select {
	case s.requestSlots <- struct{}{}:
		defer func() { <-s.requestSlots }()
	default:
		writeError(writer, http.StatusServiceUnavailable, "too many concurrent requests to change the configuration: send this one again later")
		return
	}
	change, err := readConfigRequest(kind, writer, request)
	if err != nil {
		s.respond(writer, request, err, nil)
		return
	}
	err = s.applyConfigRequest(change)
	s.respond(writer, request, err, okResponse{})
}

// readConfigRequest reads the headers and body of a change request.
func readConfigRequest(kind requestKind, writer http.ResponseWriter, request *http.Request) (configRequest, error) {
	body, err := readBody(writer, request)
	if err != nil {
		return configRequest{}, err
	}
	ifVersion, err := strconv.ParseUint(strings.TrimSpace(request.Header.Get(headerIfVersion)), 10, 64)
	if err != nil {
		return configRequest{}, reject(http.StatusBadRequest,
			"%s is missing or not a number: give the version that the request is based on, 0 for the first", headerIfVersion)
	}
	return newConfigRequest(kind, ifVersion, body), nil
}

func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, reject(http.StatusRequestEntityTooLarge, "the request body exceeds %d bytes: send less", tooLarge.Limit)
	}
	return nil, errors.Wrap(err, "read the request body: send the request again")
}

// applyConfigRequest commits a change. It returns nil if the change is part of the committed state, a RequestError if
// it is rejected, and any other error if the outcome is unknown. A majority has confirmed the first two outcomes.
func (s *Server) applyConfigRequest(change configRequest) error {
	prepared, err := change.prepare(s.state.committed())
	if err == nil {
		err = s.changeState(prepared.apply)
	} else {
		err = s.confirmOutcome(change)
	}
	if errors.Is(err, errAlreadyApplied) {
		return nil
	}
	return err
}

// changeState commits a change within proposeTimeout. It is not canceled with the caller's request, which may be
// sent again.
func (s *Server) changeState(change func(*rpc.ControlState) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return s.state.change(ctx, change)
}

// confirmOutcome checks a change that is not applicable to the committed state known here against the latest state.
func (s *Server) confirmOutcome(change configRequest) error {
	latest, err := s.state.readLatest()
	if err != nil {
		return err
	}
	if _, err := change.prepare(latest); err != nil {
		return err
	}
	return errors.New("the configuration changed in the meantime: send the request again")
}

// handleRead responds with the latest configuration.
func (s *Server) handleRead(writer http.ResponseWriter, request *http.Request) {
	state, err := s.state.readLatest()
	if err == nil && state.ConfigVersion == 0 {
		err = reject(http.StatusNotFound, "there is no configuration yet: send one with X-If-Version: 0")
	}
	if err != nil || !s.state.leading() {
		s.respond(writer, request, err, nil)
		return
	}
	writeRaw(writer, http.StatusOK, state.Config)
}
