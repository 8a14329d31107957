package catalog

import (
	"encoding/json"
)

// Values of the keys that a configuration may leave out.
const (
	defaultRetries          = 6
	defaultRetentionS       = 90
	defaultTargetLatencyMs  = 100
	defaultScheduleTargetMs = 1000
	defaultMaxConns         = 16
	defaultHealthPath       = "/health"
	defaultMaxHeaderBytes   = 16 << 10
	defaultMaxBodyBytes     = 256 << 10
	defaultHeaderTimeoutMs  = 3000
	defaultIdleTimeoutMs    = 15000
)

// Parse reads one whole configuration from JSON, fills in what it leaves out and checks it. Unknown keys
// are ignored, and kept by Marshal. The error is a *ValidationError.
//
// The configuration keeps data, which must not be changed afterwards.
func Parse(data []byte) (*Config, error) {
	config := &Config{}
	if err := json.Unmarshal(data, config); err != nil {
		return nil, unreadable("configuration", err)
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.source = data
	config.applyDefaults()
	return config, nil
}

// Marshal returns the configuration as JSON: the very bytes it was parsed from where there are such.
func (c *Config) Marshal() ([]byte, error) {
	if c.source != nil {
		return c.source, nil
	}
	return json.Marshal(c)
}

// applyDefaults fills in the figures that the configuration leaves out.
func (c *Config) applyDefaults() {
	for i := range c.Routes {
		c.Routes[i].applyDefaults()
	}
	for i := range c.Services {
		c.Services[i].applyDefaults()
	}
	setDefault(&c.Limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&c.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&c.Limits.HeaderTimeoutMs, defaultHeaderTimeoutMs)
	setDefault(&c.Limits.IdleTimeoutMs, defaultIdleTimeoutMs)
}

func (r *Route) applyDefaults() {
	setDefault(&r.Retries, defaultRetries)
	setDefault(&r.RetentionS, defaultRetentionS)
	setDefault(&r.TargetLatencyMs, defaultTargetLatencyMs)
	setDefault(&r.ScheduleTargetMs, defaultScheduleTargetMs)
}

func (s *Service) applyDefaults() {
	setDefault(&s.MaxConns, defaultMaxConns)
	setDefault(&s.HealthPath, defaultHealthPath)
}

// setDefault sets a field that is zero.
func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
