// Package catalog holds the operator's configuration: routes, services and limits. It reads, checks and
// changes configurations, and finds the route of a request.
package catalog

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	source []byte // the JSON it was parsed from
	digest uint64 // 0 where it was not reckoned yet
}

// Route says which service runs the messages of a host and path prefix, and how.
type Route struct {
	Name             string  `json:"name"`
	Hostname         string  `json:"hostname"`
	PathPrefix       string  `json:"pathPrefix"`
	Type             string  `json:"type"`
	TimeoutMs        float64 `json:"timeoutMs"`        // bound of one delivery
	TargetLatencyMs  float64 `json:"targetLatencyMs"`  // objective for the 202
	ScheduleTargetMs float64 `json:"scheduleTargetMs"` // objective for a run to begin
	Priority         int     `json:"priority"`         // 0 is the highest
	Service          string  `json:"service"`
	Retries          int     `json:"retries"` // answers of 500 after which a message is dead
	FIFO             bool    `json:"fifo"`
	RetentionS       float64 `json:"retentionS"`
	CallbackURL      bool    `json:"callbackUrl"`
}

// Service is a group of workers, or one endpoint at a fixed address.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConns       int     `json:"maxConns"` // connections that one worker takes from all callers together
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	RatePerS       float64 `json:"ratePerS"` // arrivals a second over all dispatchers; 0 for no bound
	Dedup          bool    `json:"dedup"`
	PullMode       bool    `json:"pullMode"`
	StaticEndpoint *string `json:"staticEndpoint"` // host:port, or nil for a service on the list
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}
