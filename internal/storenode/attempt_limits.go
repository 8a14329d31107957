package storenode

import (
	"foldlb.example/foldlb/internal/catalog"
)

// updateAttemptLimits sets how many attempts of each route may be in progress at this store: its share of the workers' capacity and a
// surplus.
func (n *Node) updateAttemptLimits() {
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
		limits[route.Name] = attemptLimit(n.view.Table, route, capacity, stores)
	}
	n.attemptLimits = limits
}

const (
	surplusAttempts     = 2  // attempts above the store's share of the capacity
	maxEndpointAttempts = 48 // attempts at a static endpoint
)

// attemptLimit returns how many attempts of a route may be in progress. capacity is that of all workers, by service; of it a store gets one
// and a half times its equal share, plus surplusAttempts.
func attemptLimit(table *catalog.Table, route *catalog.Route, capacity map[string]int, stores int) int {
	service, ok := table.Service(route.Service)
	if !ok {
		return surplusAttempts
	}
	if service.StaticEndpoint != nil {
		return min(maxEndpointAttempts, max(1, service.MaxConns*9/10))
	}
	return capacity[service.Name]*3/(2*stores) + surplusAttempts
}
