package catalog

import (
	"encoding/json"
	"hash/fnv"
)

// Change is the difference between two configurations, which turns the first into the second.
type Change struct {
	Version         uint64    `json:"version"`            // of the second configuration
	Routes          []Route   `json:"routes,omitempty"`   // added or changed
	Services        []Service `json:"services,omitempty"` // added or changed
	RemovedRoutes   []string  `json:"removedRoutes,omitempty"`
	RemovedServices []string  `json:"removedServices,omitempty"`
	Limits          *Limits   `json:"limits,omitempty"` // nil if unchanged
}

// ParseChange reads a change from JSON. Defaults are not applied, since a change states every value. The error is a
// *ValidationError.
func ParseChange(data []byte) (*Change, error) {
	change := &Change{}
	if err := json.Unmarshal(data, change); err != nil {
		return nil, invalidJSON("change", err)
	}
	return change, nil
}

// Difference returns the change that turns one valid configuration into another.
func Difference(from, to *Config) *Change {
	change := &Change{Version: to.Version}
	change.Routes, change.RemovedRoutes = diffItems(from.Routes, to.Routes, routeName, sameRoute)
	change.Services, change.RemovedServices = diffItems(from.Services, to.Services, serviceName, sameService)
	if from.Limits != to.Limits {
		change.Limits = &to.Limits
	}
	return change
}

// With returns the configuration with a change applied. The result is not validated; callers compare its Digest with the
// expected one. The receiver is not modified.
func (c *Config) With(change *Change) *Config {
	changed := &Config{
		Version:  change.Version,
		Routes:   applyItems(c.Routes, change.Routes, change.RemovedRoutes, routeName),
		Services: applyItems(c.Services, change.Services, change.RemovedServices, serviceName),
		Limits:   c.Limits,
	}
	if change.Limits != nil {
		changed.Limits = *change.Limits
	}
	changed.digest = c.Digest() + c.digestDelta(changed, change)
	return changed
}

// digestDelta returns what a change adds to the digest, so that unchanged items are not hashed again.
func (c *Config) digestDelta(changed *Config, change *Change) uint64 {
	sum := itemDigest("version", changed.Version) - itemDigest("version", c.Version)
	sum += itemDigest("limits", changed.Limits) - itemDigest("limits", c.Limits)
	sum += itemsDigestDelta("route", c.Routes, change.Routes, change.RemovedRoutes, routeName)
	sum += itemsDigestDelta("service", c.Services, change.Services, change.RemovedServices, serviceName)
	return sum
}

// itemsDigestDelta returns the digest of the added items minus that of the items that they replace or that are removed.
func itemsDigestDelta[Item any](kind string, items, upserts []Item, removed []string, name func(*Item) string) uint64 {
	var sum uint64
	replaced := make(map[string]bool, len(upserts)+len(removed))
	for _, one := range removed {
		replaced[one] = true
	}
	for i := range upserts {
		replaced[name(&upserts[i])] = true
		sum += itemDigest(kind, &upserts[i])
	}
	for i := range items {
		if replaced[name(&items[i])] {
			sum -= itemDigest(kind, &items[i])
		}
	}
	return sum
}

// Digest returns a hash over all fields known to this version. It does not depend on the order of routes and services.
func (c *Config) Digest() uint64 {
	if c.digest != 0 {
		return c.digest
	}
	sum := itemDigest("version", c.Version) + itemDigest("limits", c.Limits)
	for i := range c.Routes {
		sum += itemDigest("route", &c.Routes[i])
	}
	for i := range c.Services {
		sum += itemDigest("service", &c.Services[i])
	}
	return sum
}

// itemDigest hashes one item together with its kind.
func itemDigest(kind string, item any) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(kind))
	encoder := json.NewEncoder(hash)
	_ = encoder.Encode(item) // encoding plain fields can't fail
	return hash.Sum64()
}

// diffItems returns the items of to that are missing or different in from, and the names that are only in from.
func diffItems[Item any](from, to []Item, name func(*Item) string, same func(one, other *Item) bool) (upserts []Item, removed []string) {
	before := make(map[string]*Item, len(from))
	for i := range from {
		before[name(&from[i])] = &from[i]
	}
	for i := range to {
		item := &to[i]
		held := before[name(item)]
		if held == nil || !same(held, item) {
			upserts = append(upserts, *item)
		}
		delete(before, name(item))
	}
	for i := range from {
		if _, gone := before[name(&from[i])]; gone {
			removed = append(removed, name(&from[i]))
		}
	}
	return upserts, removed
}

// applyItems returns the items with some replaced, added and removed. The order of the remaining items is kept.
func applyItems[Item any](items, upserts []Item, removed []string, name func(*Item) string) []Item {
	removedNames := make(map[string]bool, len(removed))
	for _, one := range removed {
		removedNames[one] = true
	}
	upsertsByName := make(map[string]*Item, len(upserts))
	for i := range upserts {
		upsertsByName[name(&upserts[i])] = &upserts[i]
	}
	result := make([]Item, 0, len(items)+len(upserts))
	for i := range items {
		key := name(&items[i])
		if removedNames[key] {
			continue
		}
		if replacement := upsertsByName[key]; replacement != nil {
			result = append(result, *replacement)
			delete(upsertsByName, key)
			continue
		}
		result = append(result, items[i])
	}
	for i := range upserts {
		if upsertsByName[name(&upserts[i])] != nil {
			result = append(result, upserts[i])
		}
	}
	return result
}

func routeName(route *Route) string       { return route.Name }
func serviceName(service *Service) string { return service.Name }

func sameRoute(one, other *Route) bool { return *one == *other }

// sameService compares two services, including the addresses that the pointers refer to.
func sameService(one, other *Service) bool {
	first, second := *one, *other
	first.StaticEndpoint, second.StaticEndpoint = nil, nil
	if first != second {
		return false
	}
	if one.StaticEndpoint == nil || other.StaticEndpoint == nil {
		return one.StaticEndpoint == other.StaticEndpoint
	}
	return *one.StaticEndpoint == *other.StaticEndpoint
}
