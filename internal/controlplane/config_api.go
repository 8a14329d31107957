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
	proposeTimeout        = 2500 * time.Millisecond // of one order; callers move on after about a second
	maxConcurrentRequests = 16                      // orders served at a time
)

// handleReplace takes a whole configuration.
func (s *Server) handleReplace(writer http.ResponseWriter, request *http.Request) {
	s.handleConfigRequest(requestReplace, writer, request)
}

// handleUpdate takes changes of named items.
func (s *Server) handleUpdate(writer http.ResponseWriter, request *http.Request) {
	s.handleConfigRequest(requestUpdate, writer, request)
}

func (s *Server) handleConfigRequest(kind requestKind, writer http.ResponseWriter, request *http.Request) {
	select {
	case s.requestSlots <- struct{}{}:
		defer func() { <-s.requestSlots }()
	default:
		writeError(writer, http.StatusServiceUnavailable, "too many orders at a time: send this one again later")
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

// readConfigRequest reads the head and body of an order.
func readConfigRequest(kind requestKind, writer http.ResponseWriter, request *http.Request) (configRequest, error) {
	body, err := readBody(writer, request)
	if err != nil {
		return configRequest{}, err
	}
	ifVersion, err := strconv.ParseUint(strings.TrimSpace(request.Header.Get(headerIfVersion)), 10, 64)
	if err != nil {
		return configRequest{}, reject(http.StatusBadRequest,
			"%s is missing or no number: give the version that the order builds on, 0 for the first", headerIfVersion)
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
		return nil, reject(http.StatusRequestEntityTooLarge, "the body is above %d bytes: send less", tooLarge.Limit)
	}
	return nil, errors.Wrap(err, "the body didn't come whole: send the order again")
}

// applyConfigRequest commits an order. It returns nil if the order is part of the committed state, a Refusal if it
// is refused, and any other error where the outcome is not known. All but the last are confirmed by a majority.
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

// changeState commits a change within the time that callers wait. It doesn't end with the caller, who may
// send the order again.
func (s *Server) changeState(change func(*rpc.ControlState) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return s.state.change(ctx, change)
}

// confirmOutcome compares an order that can't be taken on top of the state that this process knows with the newest state.
func (s *Server) confirmOutcome(change configRequest) error {
	newest, err := s.state.readLatest()
	if err != nil {
		return err
	}
	if _, err := change.prepare(newest); err != nil {
		return err
	}
	return errors.New("the configuration was changed meanwhile: send the order again")
}

// handleRead answers with the newest configuration.
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
