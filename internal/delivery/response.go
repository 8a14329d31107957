package delivery

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/responsecheck"
)

// Header fields of the protocol between stores and workers.
const (
	headerHost           = "Host"
	headerRequestID      = "X-Request-Id"
	headerOrderKey       = "X-Order-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerExpectInstance = "X-Expect-Instance"
	headerContentType    = "Content-Type"
	headerContentLength  = "Content-Length"
	headerStamp          = "X-Response-Stamp"
	headerNotExecuted    = "X-Not-Executed"
	headerKeepAlive      = "Keep-Alive"
)

const (
	maxResponseBodyBytes = 1 << 20 // limit for the body of a worker's response
	maxSkippedResponses  = 8       // informational and duplicate responses before the expected one
)

// Errors of a response. After any of them the outcome is unknown and the connection is closed.
var (
	errNoFraming      = errors.New("worker response has neither a Content-Length nor chunked encoding, so its end is unknown: have the worker send one of them")
	errTooLong        = errors.New("worker response body exceeds 1 MiB: have the worker send less")
	errOtherRequest   = errors.New("worker response has the id of another request: check the worker for a fault")
	errNoRequestID    = errors.New("success on a reused worker connection has no request id and may belong to an earlier request: check the worker for a fault")
	errTooManySkipped = errors.New("too many informational or duplicate responses from worker: check the worker for a fault")
)

// response is a worker's complete response.
type response struct {
	status      int
	stamp       string
	notExecuted bool
	reusable    bool // the connection can carry another request
	idleTimeout time.Duration
}

// readResponse reads the complete response to a job that was written to c. If it returns an error, the outcome is unknown. It returns a
// responsecheck.InvalidResponseError for bytes that are not a response.
func readResponse(c *conn, job *Job) (response, error) {
	reader := acquireReader(c, job.Method)
	defer releaseReader(reader)
	resp, err := parseResponses(c, job, reader)
	return resp, reader.Cause(err)
}

// parseResponses reads responses until the one to the job.
func parseResponses(c *conn, job *Job, reader *responsecheck.Reader) (response, error) {
	raw := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(raw)
	skipped := 0
	for ; skipped <= maxSkippedResponses; skipped++ {
		if err := raw.Header.Read(reader.Reader); err != nil {
			return response{}, errors.Wrap(err, "read response header")
		}
		if isInformational(raw.StatusCode()) {
			continue
		}
		if err := discardBody(reader.Reader, raw, job.Method); err != nil {
			return response{}, err
		}
		id := raw.Header.Peek(headerRequestID)
		if len(id) == 0 && c.reused && raw.StatusCode() < fasthttp.StatusMultipleChoices {
			return response{}, errNoRequestID
		}
		if len(id) == 0 || string(id) == job.RequestID {
			// Bytes beyond this response would be mistaken for the next one.
			return parseResponse(raw, c, skipped == 0 && reader.Pending() == 0), nil
		}
		if string(id) != c.previousRequestID { // a duplicate response to the previous request is skipped
			return response{}, errOtherRequest
		}
	}
	return response{}, errTooManySkipped
}

// isInformational reports whether the status is interim, with a final response to follow.
func isInformational(status int) bool {
	return status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

// discardBody reads the body to its end and discards it.
func discardBody(reader *bufio.Reader, raw *fasthttp.Response, method string) error {
	status := raw.StatusCode()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := raw.Header.ContentLength()
	switch {
	case length > maxResponseBodyBytes:
		return errTooLong
	case length >= 0:
		_, err := reader.Discard(length)
		return errors.Wrap(err, "read response body")
	case length == -1: // chunked encoding
		if err := raw.ReadBody(reader, maxResponseBodyBytes); err != nil {
			return errors.Wrap(err, "read chunked response body")
		}
		return errors.Wrap(raw.Header.ReadTrailer(reader), "read response trailer")
	default:
		return errNoFraming
	}
}

func parseResponse(raw *fasthttp.Response, c *conn, synchronized bool) response {
	h := &raw.Header
	resp := response{
		status:      raw.StatusCode(),
		stamp:       string(h.Peek(headerStamp)),
		notExecuted: len(h.Peek(headerNotExecuted)) > 0,
		reusable:    synchronized && !h.ConnectionClose(),
		idleTimeout: c.idleTimeout,
	}
	if value := h.Peek(headerKeepAlive); len(value) > 0 {
		resp.idleTimeout = keepAliveTimeout(string(value), c.idleTimeout)
	}
	return resp
}

// keepAliveTimeout parses a Keep-Alive header and returns how long this side may keep an idle connection. It returns fallback if
// the header has no valid timeout.
func keepAliveTimeout(field string, fallback time.Duration) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		timeoutSeconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !(timeoutSeconds >= 0 && timeoutSeconds <= time.Hour.Seconds()) { // NaN fails both comparisons
			return fallback
		}
		return time.Duration(timeoutSeconds * idleTimeoutShare * float64(time.Second))
	}
	return fallback
}

// outcomeKind returns what the response proves about the message.
func (r response) outcomeKind() OutcomeKind {
	switch {
	case r.status >= 200 && r.status <= 299 && r.stamp != "":
		return Succeeded
	case r.status == fasthttp.StatusUnprocessableEntity:
		return Rejected
	case r.notExecuted:
		return NotRun
	case r.status == fasthttp.StatusInternalServerError:
		return FailedAttempt
	case r.status == fasthttp.StatusMisdirectedRequest, r.status == fasthttp.StatusConflict,
		r.status == fasthttp.StatusTooManyRequests:
		return NotRun
	default:
		return Unknown
	}
}
