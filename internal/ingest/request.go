package ingest

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	defaultDeadline = 800 * time.Millisecond
	answerMargin    = 50 * time.Millisecond // kept of a client's deadline for the answer's way
	minDeadline     = 20 * time.Millisecond
	maxDeadline     = 10 * time.Second
	maxDelay        = 24 * time.Hour

	headerRequestID = "X-Request-Id"
	headerOrderKey  = "X-Order-Key"
	headerDelay     = "X-Delay-Ms"
	headerDeadline  = "X-Deadline-Ms"
	headerMessageID = "X-Msg-Id"
)

// request is a client's message, copied out of the server's buffers.
type request struct {
	route       string
	method      string
	target      string
	host        string
	id          string
	orderKey    string
	contentType string
	body        []byte
	arrived     time.Time
	deadline    time.Time // for the answer
	delay       time.Duration
	patience    time.Duration // for a new owner, where nothing was sent yet
	pinnedTo    string        // what decides the partition; empty where any will do
}

// readRequest copies a message out of the server's buffers.
func readRequest(ctx *fasthttp.RequestCtx, route *catalog.Route, service *catalog.Service) *request {
	header := &ctx.Request.Header
	arrived := time.Now()
	message := &request{
		route:       route.Name,
		method:      string(header.Method()),
		target:      string(header.RequestURI()),
		host:        string(header.Host()),
		id:          string(header.Peek(headerRequestID)),
		orderKey:    string(header.Peek(headerOrderKey)),
		contentType: string(header.ContentType()),
		body:        append([]byte(nil), ctx.Request.Body()...),
		arrived:     arrived,
		deadline:    arrived.Add(answerTime(header)),
		delay:       min(milliseconds(header.Peek(headerDelay), 0), maxDelay),
		patience:    time.Duration(route.TargetLatencyMs / 16 * float64(time.Millisecond)),
	}
	if !route.FIFO {
		message.orderKey = ""
	}
	message.pinnedTo = pin(message, service)
	return message
}

// pin returns what decides the partition of a message: the service where its rate is bounded, since one owner
// spends the whole rate, else the order key. Empty is for none.
func pin(message *request, service *catalog.Service) string {
	if service.RatePerS > 0 {
		return service.Name
	}
	return message.orderKey
}

// answerTime is the time in which the client must have its answer.
func answerTime(header *fasthttp.RequestHeader) time.Duration {
	bound := milliseconds(header.Peek(headerDeadline), defaultDeadline)
	return min(max(bound-answerMargin, minDeadline), maxDeadline)
}

// milliseconds reads a duration from a header, or returns a default.
func milliseconds(value []byte, otherwise time.Duration) time.Duration {
	if len(value) == 0 {
		return otherwise
	}
	number, err := strconv.ParseFloat(string(value), 64)
	if err != nil || number < 0 || number != number {
		return otherwise
	}
	return time.Duration(min(number, float64(maxDelay/time.Millisecond)) * float64(time.Millisecond))
}

// asMessage returns the message as it is sent now, with its times relative to this moment.
func (r *request) asMessage(name string, partition uint32, epoch uint64) *rpc.Message {
	age := time.Since(r.arrived)
	return &rpc.Message{
		Name:        name,
		Partition:   partition,
		Route:       r.route,
		Method:      r.method,
		Path:        r.target,
		Host:        r.host,
		RequestId:   r.id,
		OrderKey:    r.orderKey,
		ContentType: r.contentType,
		Body:        r.body,
		BodyBytes:   uint64(len(r.body)),
		AgeMs:       age.Milliseconds(),
		DelayLeftMs: max(r.delay-age, 0).Milliseconds(),
		Epoch:       epoch,
	}
}
