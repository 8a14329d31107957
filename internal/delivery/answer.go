package delivery

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Header fields of the workers' protocol.
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
	mostAnswerBytes = 1 << 20 // of a worker's answer, beyond its head
	mostSkipped     = 8       // answers before the one that is waited for
)

// Faults of an answer. After any of them the outcome is unknown and the connection carries nothing further.
var (
	errNoLength = errors.New("the answer has neither a length nor chunks, so it can't be told whole: have the worker send one of them")
	errTooLong  = errors.New("the answer's body is longer than 1 MB: have the worker send less")
	errForeign  = errors.New("the answer belongs to another request: the worker is in trouble")
	errNameless = errors.New("a success on a used connection names no request, so it may be an earlier one's: the worker is in trouble")
	errTooMany  = errors.New("too many answers that are not the request's: the worker is in trouble")
)

// answer is what a worker said, once all of it has come in.
type answer struct {
	status      int
	stamp       string
	notExecuted bool
	reusable    bool // the connection can carry another request
	keepFor     time.Duration
}

// readAnswer reads the whole answer to a job that was written to c. An error means that nothing is proven.
func readAnswer(c *conn, job *Job) (answer, error) {
	reader := acquireReader(c)
	defer releaseReader(reader)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	skipped := 0
	for ; skipped <= mostSkipped; skipped++ {
		if err := response.Header.Read(reader); err != nil {
			return answer{}, errors.Wrap(err, "read the answer's head")
		}
		if isInterim(response.StatusCode()) {
			continue
		}
		if err := skipBody(reader, response, job.Method); err != nil {
			return answer{}, err
		}
		id := response.Header.Peek(headerRequestID)
		if len(id) == 0 && c.kept && response.StatusCode() < fasthttp.StatusMultipleChoices {
			return answer{}, errNameless
		}
		if len(id) == 0 || string(id) == job.RequestID {
			// Bytes beyond the answer would be taken for the next request's.
			return parseAnswer(response, c, skipped == 0 && reader.Buffered() == 0), nil
		}
		if string(id) != c.previousID { // a second answer to the last request is passed over
			return answer{}, errForeign
		}
	}
	return answer{}, errTooMany
}

// isInterim tells whether the status only announces another answer.
func isInterim(status int) bool {
	return status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

// skipBody reads the body to its end and drops it.
func skipBody(reader *bufio.Reader, response *fasthttp.Response, method string) error {
	status := response.StatusCode()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := response.Header.ContentLength()
	switch {
	case length > mostAnswerBytes:
		return errTooLong
	case length >= 0:
		_, err := reader.Discard(length)
		return errors.Wrap(err, "read the answer's body")
	case length == -1: // in chunks
		if err := response.ReadBody(reader, mostAnswerBytes); err != nil {
			return errors.Wrap(err, "read the answer's chunks")
		}
		return errors.Wrap(response.Header.ReadTrailer(reader), "read the answer's trailer")
	default:
		return errNoLength
	}
}

func parseAnswer(response *fasthttp.Response, c *conn, clean bool) answer {
	h := &response.Header
	a := answer{
		status:      response.StatusCode(),
		stamp:       string(h.Peek(headerStamp)),
		notExecuted: len(h.Peek(headerNotExecuted)) > 0,
		reusable:    clean && !h.ConnectionClose(),
		keepFor:     c.keepFor,
	}
	if value := h.Peek(headerKeepAlive); len(value) > 0 {
		a.keepFor = keepTime(string(value), c.keepFor)
	}
	return a
}

// keepTime reads a Keep-Alive field and returns for how long an idle connection is kept; otherwise where it names no time.
func keepTime(field string, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !(seconds >= 0 && seconds <= time.Hour.Seconds()) { // no number fails both
			return otherwise
		}
		return time.Duration(seconds * keptPart * float64(time.Second))
	}
	return otherwise
}

// kind tells what the answer proves.
func (a answer) kind() OutcomeKind {
	switch {
	case a.status >= 200 && a.status <= 299 && a.stamp != "":
		return Succeeded
	case a.status == fasthttp.StatusUnprocessableEntity:
		return Rejected
	case a.notExecuted:
		return NotRun
	case a.status == fasthttp.StatusInternalServerError:
		return FailedAttempt
	case a.status == fasthttp.StatusMisdirectedRequest, a.status == fasthttp.StatusConflict,
		a.status == fasthttp.StatusTooManyRequests:
		return NotRun
	default:
		return Unknown
	}
}
