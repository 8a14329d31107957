package catalog

import (
	"fmt"
	"strconv"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

var (
	required       = validation.Required.Error("is missing: set it")
	positive       = validation.Min(0.0).Exclusive().Error("must be above 0")
	nonNegative    = validation.Min(0.0).Error("must be 0 or more")
	nonNegativeInt = validation.Min(0).Error("must be 0 or more")
)

// Validate checks the complete configuration. The error is a *ValidationError that lists every fault.
func (c *Config) Validate() error {
	checker := &checker{}
	checker.checkTopLevel(c)
	checker.checkServices(c.Services)
	checker.checkRoutes(c.Routes)
	if len(checker.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: checker.faults}
}

// prefix identifies what only one route may have.
type prefix struct {
	host string
	path string
}

// checker collects the faults of one configuration.
type checker struct {
	faults   []Fault
	services map[string]bool
}

// check adds a fault if the value violates one of the rules.
func (c *checker) check(item func() string, key string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		c.add(item(), key, err.Error())
	}
}

func (c *checker) add(item, key, problem string) {
	c.faults = append(c.faults, Fault{Item: item, Key: key, Problem: problem})
}

// checkTopLevel checks the keys outside of routes and services.
func (c *checker) checkTopLevel(config *Config) {
	item := func() string { return "configuration" }
	c.check(item, "version", config.Version, validation.Required.Error("must be above 0"))
	c.check(item, "routes", config.Routes, validation.NotNil.Error("is missing: send the list, empty for none"))
	c.check(item, "services", config.Services, validation.NotNil.Error("is missing: send the list, empty for none"))
	c.check(item, "limits.maxHeaderBytes", config.Limits.MaxHeaderBytes, nonNegativeInt)
	c.check(item, "limits.maxBodyBytes", config.Limits.MaxBodyBytes, nonNegativeInt)
	c.check(item, "limits.headerTimeoutMs", config.Limits.HeaderTimeoutMs, nonNegativeInt)
	c.check(item, "limits.idleTimeoutMs", config.Limits.IdleTimeoutMs, nonNegativeInt)
}

func (c *checker) checkServices(services []Service) {
	c.services = make(map[string]bool, len(services))
	for i := range services {
		service := &services[i]
		item := func() string { return itemName("service", service.Name, i) }
		c.check(item, "name", service.Name, required)
		c.check(item, "ratePerS", service.RatePerS, nonNegative)
		c.check(item, "maxConns", service.MaxConns, nonNegativeInt)
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
		c.check(item, "timeoutMs", route.TimeoutMs, required, positive)
		c.check(item, "retries", route.Retries, nonNegativeInt)
		c.check(item, "retentionS", route.RetentionS, nonNegative)
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

// itemName returns an item's name for faults, or its index if it has no name.
func itemName(kind, name string, position int) string {
	if name == "" {
		return kind + " " + strconv.Itoa(position)
	}
	return kind + " " + strconv.Quote(name)
}
