package storenode

import (
	"time"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/message"
)

// Which route a message has, and which configuration may decide about it. docs/service-design.md, "What a message is accepted for".

// routeOf returns the route that the host and path of a message match in the configuration in force, or nil if there is none. The name of
// the route that accepted it may mean another one by now.
func (n *Node) routeOf(e *message.Entry) *catalog.Route {
	if n.view == nil || n.view.Table == nil {
		return nil
	}
	route, _, ok := n.view.Table.MatchMessage(e.Host, e.Path)
	if !ok {
		return nil
	}
	return route
}

// routing implements message.Routing by the configuration in force.
func (n *Node) routing(e *message.Entry) (name string, ordered bool) {
	route := n.routeOf(e)
	if route == nil {
		return "", false
	}
	return route.Name, route.FIFO
}

// applyConfig puts the configuration of the current view in force. old is the view before; nil for none.
func (n *Node) applyConfig(old *cluster.View) {
	n.engine.SetCatalog(n.view.ConfigVersion, n.view.Config)
	n.configVersion.Store(n.view.ConfigVersion)
	if old != nil && n.view.Table.RoutesAlike(old.Table) {
		return
	}
	n.table.SetRouting(n.routing, n.now())
	n.unroutedCheckPending = true
}

// hasRequiredConfig reports whether the configuration in force is not older than any under which a message known here was accepted. Without
// it, this store must not end, drop or send messages.
func (n *Node) hasRequiredConfig() bool {
	return n.view != nil && n.view.Config != nil && n.view.ConfigVersion >= n.table.ConfigVersion()
}

// awaitedConfig is a configuration version that messages were accepted under and that this store does not have.
type awaitedConfig struct {
	version uint64    // 0 for none
	since   time.Time // when this store was seen to lack it
}

// forgetLostConfig stops waiting for a configuration that no longer exists: a leader that was asked after this store lacked it names an
// older one, which is in force here, as the newest. A version is in force before messages are accepted under it, so the control plane has
// lost it, and the operator has begun anew.
func (n *Node) forgetLostConfig(now time.Time) {
	required := n.table.ConfigVersion()
	if n.view.ConfigVersion >= required {
		n.awaitedConfig = awaitedConfig{}
		return
	}
	if n.awaitedConfig.version != required {
		n.awaitedConfig = awaitedConfig{version: required, since: now}
		return
	}
	newest, requestedAt := n.cluster.NewestConfig()
	if newest != n.view.ConfigVersion || !requestedAt.After(n.awaitedConfig.since) {
		return
	}
	n.log.Info("messages were accepted under a configuration that the control plane has lost; they follow the newest one: check its routes",
		"lost", required, "newest", newest)
	n.table.ForgetConfig(newest)
}

// isExpired reports whether a message's retention has passed: the one promised, and that of its route.
func (n *Node) isExpired(e *message.Entry, now time.Duration) bool {
	age := now - e.Arrived - expiryMargin
	if !n.hasRequiredConfig() || e.Promise.Retention > 0 && age <= e.Promise.Retention {
		return false
	}
	route := n.routeOf(e)
	if route == nil {
		return e.Promise.Retention > 0
	}
	return route.RetentionS > 0 && age > time.Duration(route.RetentionS*float64(time.Second))
}

// isUnrouted reports whether the configuration has dropped the message's route.
func (n *Node) isUnrouted(e *message.Entry) bool {
	return n.hasRequiredConfig() && n.routeOf(e) == nil
}
