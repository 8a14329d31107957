package catalog

import (
	"encoding/json"
)

// Defaults of the keys that a configuration may omit.
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

// Parse reads a complete configuration from JSON, validates it and applies defaults. Unknown keys are ignored, and
// preserved by Marshal. The error is a *ValidationError.
//
// The configuration retains data, which must not be modified afterwards.
func Parse(data []byte) (*Config, error) {
	config := &Config{}
	if err := json.Unmarshal(data, config); err != nil {
		return nil, invalidJSON("configuration", err)
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.source = data
	config.applyDefaults()
	return config, nil
}

// Marshal returns the configuration as JSON: the bytes that it was parsed from, if there are any.
func (c *Config) Marshal() ([]byte, error) {
	if c.source != nil {
		return c.source, nil
	}
	return json.Marshal(c)
}

// applyDefaults sets the values that the configuration omits.
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

// setDefault sets a field if it is zero.
func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
