package delivery

import (
	"time"

	"foldlb.example/foldlb/internal/catalog"
)

// Processing of configurations.

// SetCatalog applies a configuration, unless its version is below that in force. Jobs of routes that were removed, or now lead to
// another service, end as NotRun unless their request is already being written.
func (e *Engine) SetCatalog(version uint64, config *catalog.Config) {
	e.doAndNotifyAsync(func(now time.Duration) {
		if e.closed || config == nil || version < e.configVersion {
			return
		}
		e.configVersion = version
		previous := e.services
		e.applyServices(config.Services)
		e.applyRoutes(catalog.NewTable(config))
		for name, s := range previous {
			if e.services[name] == nil {
				e.removeService(s)
			}
		}
		e.applyWorkers(now)
	})
}

func (e *Engine) applyServices(services []catalog.Service) {
	updated := make(map[string]*service, len(services))
	for _, config := range services {
		s := e.services[config.Name]
		if s == nil {
			s = newService(e, config)
		} else {
			s.update(config)
		}
		updated[config.Name] = s
	}
	e.services = updated
}

func (e *Engine) applyRoutes(table *catalog.Table) {
	previous := e.table
	e.table = table
	for name, r := range e.routes {
		config, ok := table.Route(name)
		if !ok || !sameDestination(*config, r.config) || e.services[config.Service] != r.service {
			delete(e.routes, name)
			r.remove()
			continue
		}
		r.config = *config
	}
	if !table.RoutesAlike(previous) {
		e.withdrawMisrouted()
	}
}

// withdrawMisrouted withdraws the deliveries of which nothing has been written and whose host and path now match another route.
func (e *Engine) withdrawMisrouted() {
	for _, r := range e.routes {
		r.withdraw(func(d *delivery) bool {
			config, _, ok := e.table.MatchMessage(d.job.Host, d.job.Path)
			return !ok || config.Name != r.config.Name
		})
	}
}

// sameDestination reports whether waiting messages of a changed route may still be sent to its destination.
func sameDestination(a, b catalog.Route) bool {
	return a.Service == b.Service && a.Hostname == b.Hostname && a.PathPrefix == b.PathPrefix
}

// removeService closes the connections and stops the timer of a service that is no longer configured.
func (e *Engine) removeService(s *service) {
	for key, t := range e.targets {
		if t.service == s {
			delete(e.targets, key)
			e.retireTarget(t)
		}
	}
	if s.limit != nil {
		s.limit.close()
	}
	if s.timer != nil {
		s.timer.Stop()
	}
}

// retireTarget closes a target's idle connections and prevents further requests to it.
func (e *Engine) retireTarget(t *target) {
	t.ready = false
	t.closeIdleConns(anyConn)
	if e.targets[t.key] == t {
		delete(e.targets, t.key)
	}
}

func anyConn(*conn) bool { return true }
