// Package catalog holds the operator's configuration: routes, services and limits. It parses, validates and updates
// configurations, and looks up the route of a request.
package catalog

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	source []byte // the JSON it was parsed from
	digest uint64 // 0 if it has not been computed
}

// RouteTypeAsync is the type of the routes that take messages.
const RouteTypeAsync = "async"

// Route assigns the messages of a host and path prefix to a service, and states how they are delivered.
type Route struct {
	Name             string  `json:"name"`
	Hostname         string  `json:"hostname"`
	PathPrefix       string  `json:"pathPrefix"`
	Type             string  `json:"type"`
	TimeoutMs        float64 `json:"timeoutMs"`        // timeout of one delivery
	TargetLatencyMs  float64 `json:"targetLatencyMs"`  // target latency of the 202 answer
	ScheduleTargetMs float64 `json:"scheduleTargetMs"` // target time until a delivery starts
	Priority         int     `json:"priority"`         // 0 is the highest
	Service          string  `json:"service"`
	Retries          int     `json:"retries"` // number of 500 answers after which a message is a dead letter
	FIFO             bool    `json:"fifo"`
	RetentionS       float64 `json:"retentionS"`
	CallbackURL      bool    `json:"callbackUrl"`
}

// Service is a group of workers, or a single endpoint with a fixed address.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConns       int     `json:"maxConns"` // limit on the connections of one worker, over all clients
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	RatePerS       float64 `json:"ratePerS"` // arrivals per second over all dispatchers; 0 for no limit
	Dedup          bool    `json:"dedup"`
	PullMode       bool    `json:"pullMode"`
	StaticEndpoint *string `json:"staticEndpoint"` // host:port; nil if the service's workers come from the worker list
}

// Limits bounds what a client may send.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}
