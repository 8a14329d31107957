package storenode

import (
	"foldlb.example/foldlb/internal/catalog"
)

// How many attempts of each route may be under way.

// reckonLimits sets how many attempts of each route may be under way here: this store's part of the workers' capacity
// and some more.
func (n *Node) reckonLimits() {
	if n.view.Config == nil || n.view.Workers == nil {
		return
	}
	capacity := map[string]int{}
	for _, worker := range n.view.Workers.Workers {
		if !worker.Draining {
			capacity[worker.Service] += int(worker.Capacity)
		}
	}
	stores := 1
	if n.view.Map != nil {
		stores = max(1, len(n.view.Map.Stores))
	}
	limits := make(map[string]int, len(n.view.Config.Routes))
	for i := range n.view.Config.Routes {
		route := &n.view.Config.Routes[i]
		limits[route.Name] = routeLimit(n.view.Table, route, capacity, stores)
	}
	n.limits = limits
}

const (
	limitSurplus  = 2  // attempts above a store's part of the capacity
	limitEndpoint = 48 // attempts at one endpoint outside
)

func routeLimit(table *catalog.Table, route *catalog.Route, capacity map[string]int, stores int) int {
	service, ok := table.Service(route.Service)
	if !ok {
		return limitSurplus
	}
	if service.StaticEndpoint != nil {
		return min(limitEndpoint, max(1, service.MaxConns*9/10))
	}
	return capacity[service.Name]*3/(2*stores) + limitSurplus
}
