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
	responseMargin  = 50 * time.Millisecond // part of the client's deadline reserved for the way of the response
	minDeadline     = 20 * time.Millisecond
	maxDeadline     = 10 * time.Second
	maxDelay        = 24 * time.Hour

	headerRequestID = "X-Request-Id"
	headerOrderKey  = "X-Order-Key"
	headerDelay     = "X-Delay-Ms"
	headerDeadline  = "X-Deadline-Ms"
	headerMessageID = "X-Msg-Id"
)

// request is a message from a client, copied from the server's buffers.
type request struct {
	route        string
	method       string
	target       string
	host         string
	id           string
	orderKey     string
	contentType  string
	body         []byte
	receivedAt   time.Time
	deadline     time.Time // for the response
	delay        time.Duration
	ownerWait    time.Duration // how long to wait for a reachable owner if nothing was sent yet
	partitionKey string        // determines the partition; empty if any free partition will do

	// What the configuration promises under which the request was matched.
	configVersion uint64
	retries       int
	retention     time.Duration
	ordered       bool
}

// parseRequest copies a message from the server's buffers.
func parseRequest(ctx *fasthttp.RequestCtx, configVersion uint64, route *catalog.Route, service *catalog.Service) *request {
	header := &ctx.Request.Header
	receivedAt := time.Now()
	message := &request{
		route:       route.Name,
		method:      string(header.Method()),
		target:      string(header.RequestURI()),
		host:        string(header.Host()),
		id:          string(header.Peek(headerRequestID)),
		orderKey:    string(header.Peek(headerOrderKey)),
		contentType: string(header.ContentType()),
		body:        append([]byte(nil), ctx.Request.Body()...),
		receivedAt:  receivedAt,
		deadline:    receivedAt.Add(responseBudget(header)),
		delay:       min(parseMilliseconds(header.Peek(headerDelay), 0), maxDelay),
		ownerWait:   time.Duration(route.TargetLatencyMs / 16 * float64(time.Millisecond)),

		configVersion: configVersion,
		retries:       route.Retries,
		retention:     time.Duration(route.RetentionS * float64(time.Second)),
		ordered:       route.FIFO,
	}
	message.partitionKey = choosePartitionKey(message, service)
	return message
}

// choosePartitionKey returns what determines the message's partition: the order key, on routes without order too, so that no change of the
// configuration moves a key; otherwise the service if its rate is limited, as the owner of that partition spends the whole rate. It is empty
// if there is neither.
func choosePartitionKey(message *request, service *catalog.Service) string {
	if message.orderKey == "" && service.RatePerS > 0 {
		return service.Name
	}
	return message.orderKey
}

// responseBudget returns the time within which the response must be sent.
func responseBudget(header *fasthttp.RequestHeader) time.Duration {
	bound := parseMilliseconds(header.Peek(headerDeadline), defaultDeadline)
	return min(max(bound-responseMargin, minDeadline), maxDeadline)
}

// parseMilliseconds parses a duration in milliseconds, at most maxDelay. It returns the fallback if the value
// is empty or not valid.
func parseMilliseconds(value []byte, fallback time.Duration) time.Duration {
	if len(value) == 0 {
		return fallback
	}
	number, err := strconv.ParseFloat(string(value), 64)
	if err != nil || number < 0 || number != number {
		return fallback
	}
	return time.Duration(min(number, float64(maxDelay/time.Millisecond)) * float64(time.Millisecond))
}

// toMessage returns the message for a Put that is sent now: its age and remaining delay are relative to the
// present.
func (r *request) toMessage(name string, partition uint32, epoch uint64) *rpc.Message {
	age := time.Since(r.receivedAt)
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

		ConfigVersion: r.configVersion,
		Retries:       uint32(r.retries),
		RetentionMs:   r.retention.Milliseconds(),
		Ordered:       r.ordered,
	}
}
