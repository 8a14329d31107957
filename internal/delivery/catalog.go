package delivery

import (
	"time"

	"foldlb.example/foldlb/internal/catalog"
)

// The configuration, as the engine takes it.

// SetCatalog takes a configuration. One with a version below the one in force is ignored. Jobs of routes that went, or that
// now lead to another service, end as not run unless they are with a worker already.
func (e *Engine) SetCatalog(version uint64, config *catalog.Config) {
	e.lockedAside(func(now time.Duration) {
		if e.closed || config == nil || version < e.version {
			return
		}
		e.version = version
		before := e.lanes
		e.setServices(config.Services)
		e.setRoutes(config.Routes)
		for name, l := range before {
			if e.lanes[name] == nil {
				e.endLane(l)
			}
		}
		e.setWorkers(now)
	})
}

func (e *Engine) setServices(services []catalog.Service) {
	lanes := make(map[string]*lane, len(services))
	for _, service := range services {
		l := e.lanes[service.Name]
		if l == nil {
			l = newLane(e, service)
		} else {
			l.update(service)
		}
		lanes[service.Name] = l
	}
	e.lanes = lanes
}

func (e *Engine) setRoutes(routes []catalog.Route) {
	configs := make(map[string]catalog.Route, len(routes))
	for _, config := range routes {
		configs[config.Name] = config
	}
	e.configs = configs
	for name, r := range e.routes {
		config, ok := configs[name]
		if !ok || !sameWay(config, r.config) || e.lanes[config.Service] != r.lane {
			delete(e.routes, name)
			r.drop()
			continue
		}
		r.config = config
	}
}

// sameWay tells whether messages of a route that was changed may still go where they were going.
func sameWay(a, b catalog.Route) bool {
	return a.Service == b.Service && a.Hostname == b.Hostname && a.PathPrefix == b.PathPrefix
}

// endLane lets go of a service that went.
func (e *Engine) endLane(l *lane) {
	for key, t := range e.targets {
		if t.lane == l {
			delete(e.targets, key)
			e.retire(t)
		}
	}
	if l.timer != nil {
		l.timer.Stop()
	}
}

// retire has nothing new sent to a target.
func (e *Engine) retire(t *target) {
	t.ready = false
	t.closeIdle(always)
	if e.targets[t.key] == t {
		delete(e.targets, t.key)
	}
}

func always(*conn) bool { return true }
