package catalog

import (
	"fmt"
	"strconv"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

var (
	required    = validation.Required.Error("is missing: set it")
	above0      = validation.Min(0.0).Exclusive().Error("must be above 0")
	notNegative = validation.Min(0.0).Error("must be 0 or more")
	count       = validation.Min(0).Error("must be 0 or more")
)

// Validate checks the configuration whole. The error is a *ValidationError that lists every fault.
func (c *Config) Validate() error {
	checker := &checker{}
	checker.checkHead(c)
	checker.checkServices(c.Services)
	checker.checkRoutes(c.Routes)
	if len(checker.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: checker.faults}
}

// prefix is what may belong to one route only.
type prefix struct {
	host string
	path string
}

// checker gathers the faults of one configuration.
type checker struct {
	faults   []Fault
	services map[string]bool
}

// check adds a fault if the value breaks one of the rules.
func (c *checker) check(item func() string, key string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		c.add(item(), key, err.Error())
	}
}

func (c *checker) add(item, key, problem string) {
	c.faults = append(c.faults, Fault{Item: item, Key: key, Problem: problem})
}

// checkHead checks what stands beside the items.
func (c *checker) checkHead(config *Config) {
	item := func() string { return "configuration" }
	c.check(item, "version", config.Version, validation.Required.Error("must be above 0"))
	c.check(item, "routes", config.Routes, validation.NotNil.Error("is missing: send the list, empty for none"))
	c.check(item, "services", config.Services, validation.NotNil.Error("is missing: send the list, empty for none"))
	c.check(item, "limits.maxHeaderBytes", config.Limits.MaxHeaderBytes, count)
	c.check(item, "limits.maxBodyBytes", config.Limits.MaxBodyBytes, count)
	c.check(item, "limits.headerTimeoutMs", config.Limits.HeaderTimeoutMs, count)
	c.check(item, "limits.idleTimeoutMs", config.Limits.IdleTimeoutMs, count)
}

func (c *checker) checkServices(services []Service) {
	c.services = make(map[string]bool, len(services))
	for i := range services {
		service := &services[i]
		item := func() string { return itemName("service", service.Name, i) }
		c.check(item, "name", service.Name, required)
		c.check(item, "ratePerS", service.RatePerS, notNegative)
		c.check(item, "maxConns", service.MaxConns, count)
		if c.services[service.Name] {
			c.add(item(), "name", "is used twice: give each service its own")
		}
		c.services[service.Name] = true
	}
}

func (c *checker) checkRoutes(routes []Route) {
	names := make(map[string]bool, len(routes))
	prefixes := make(map[prefix]string, len(routes))
	for i := range routes {
		route := &routes[i]
		item := func() string { return itemName("route", route.Name, i) }
		c.check(item, "name", route.Name, required)
		c.check(item, "timeoutMs", route.TimeoutMs, required, above0)
		c.check(item, "retries", route.Retries, count)
		c.check(item, "retentionS", route.RetentionS, notNegative)
		if !c.services[route.Service] {
			c.add(item(), "service", fmt.Sprintf("%q is unknown: add the service or name another", route.Service))
		}
		if names[route.Name] {
			c.add(item(), "name", "is used twice: give each route its own")
		}
		names[route.Name] = true
		key := prefix{host: strings.ToLower(route.Hostname), path: route.PathPrefix}
		if other, taken := prefixes[key]; taken {
			c.add(item(), "pathPrefix", fmt.Sprintf("has the host and prefix of route %q: change one", other))
		}
		prefixes[key] = route.Name
	}
}

// itemName names an item in a fault, by its position where it has no name.
func itemName(kind, name string, position int) string {
	if name == "" {
		return kind + " " + strconv.Itoa(position)
	}
	return kind + " " + strconv.Quote(name)
}
