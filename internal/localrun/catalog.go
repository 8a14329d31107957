package localrun

import "foldlb.example/foldlb/internal/catalog"

// Kind says what is asked of a message.
type Kind string

// The kinds of messages that are sent.
const (
	Plain   Kind = "plain"
	Delayed Kind = "delayed" // not to run before its delay has passed
	Keyed   Kind = "keyed"   // in the order of its key
	Rated   Kind = "rated"   // to an outside endpoint that takes so many a second
)

const (
	hostName      = "local.example"
	firstVersion  = 1
	retries       = 3 // answers of 500 after which a message is dead
	ratePerS      = 20
	rateWindowS   = 5
	rateOverrun   = 1.1
	rateSlack     = 5 // arrivals above the rate in one window
	serviceFree   = "intake"
	serviceKeyed  = "ledger"
	serviceRated  = "partner"
	prefixFree    = "/intake/"
	prefixKeyed   = "/ledger/"
	prefixRated   = "/partner/"
	retentionS    = 60
	timeoutMs     = 1000
	objectiveMs   = 500
	mostConns     = 32
	maxHeader     = 16 << 10
	maxBody       = 64 << 10
	headerTimeout = 3000
	idleTimeout   = 15000
)

// prefixOf is where messages of a kind are sent.
func prefixOf(kind Kind) string {
	switch kind {
	case Keyed:
		return prefixKeyed
	case Rated:
		return prefixRated
	default:
		return prefixFree
	}
}

// configuration is the operator's. partner is the address of the outside endpoint.
func configuration(partner string) *catalog.Config {
	return &catalog.Config{
		Version: firstVersion,
		Routes: []catalog.Route{
			newRoute(prefixFree, serviceFree, false),
			newRoute(prefixKeyed, serviceKeyed, true),
			newRoute(prefixRated, serviceRated, false),
		},
		Services: []catalog.Service{
			newService(serviceFree),
			newService(serviceKeyed),
			newEndpoint(serviceRated, partner),
		},
		Limits: catalog.Limits{
			MaxHeaderBytes:  maxHeader,
			MaxBodyBytes:    maxBody,
			HeaderTimeoutMs: headerTimeout,
			IdleTimeoutMs:   idleTimeout,
		},
	}
}

func newRoute(prefix, service string, fifo bool) catalog.Route {
	return catalog.Route{
		Name:             "route-" + service,
		Hostname:         hostName,
		PathPrefix:       prefix,
		Type:             "async",
		TimeoutMs:        timeoutMs,
		TargetLatencyMs:  objectiveMs,
		ScheduleTargetMs: objectiveMs,
		Service:          service,
		Retries:          retries,
		FIFO:             fifo,
		RetentionS:       retentionS,
	}
}

func newService(name string) catalog.Service {
	return catalog.Service{Name: name, HealthPath: "/health", MaxConns: mostConns, Protocol: "h1"}
}

func newEndpoint(name, address string) catalog.Service {
	service := newService(name)
	service.RatePerS = ratePerS
	service.StaticEndpoint = &address
	return service
}
