package catalog

import (
	"encoding/json"
	"hash/fnv"
)

// Change is the difference between two configurations: what a process that holds the first needs to hold the second.
type Change struct {
	Version         uint64    `json:"version"`            // of the second
	Routes          []Route   `json:"routes,omitempty"`   // added, or changed
	Services        []Service `json:"services,omitempty"` // added, or changed
	RemovedRoutes   []string  `json:"removedRoutes,omitempty"`
	RemovedServices []string  `json:"removedServices,omitempty"`
	Limits          *Limits   `json:"limits,omitempty"` // nil where they are the same
}

// ParseChange reads a change from JSON. Nothing is filled in: a change names all figures.
func ParseChange(data []byte) (*Change, error) {
	change := &Change{}
	if err := json.Unmarshal(data, change); err != nil {
		return nil, unreadable("change", err)
	}
	return change, nil
}

// Difference returns the change that leads from one valid configuration to another.
func Difference(from, to *Config) *Change {
	change := &Change{Version: to.Version}
	change.Routes, change.RemovedRoutes = differentItems(from.Routes, to.Routes, routeName, sameRoute)
	change.Services, change.RemovedServices = differentItems(from.Services, to.Services, serviceName, sameService)
	if from.Limits != to.Limits {
		change.Limits = &to.Limits
	}
	return change
}

// With returns the configuration that a change leads to. It is not checked: compare its Digest. The receiver stays as it is.
func (c *Config) With(change *Change) *Config {
	changed := &Config{
		Version:  change.Version,
		Routes:   changeItems(c.Routes, change.Routes, change.RemovedRoutes, routeName),
		Services: changeItems(c.Services, change.Services, change.RemovedServices, serviceName),
		Limits:   c.Limits,
	}
	if change.Limits != nil {
		changed.Limits = *change.Limits
	}
	changed.digest = c.Digest() + c.digestOfDifference(changed, change)
	return changed
}

// digestOfDifference is what a change adds to the digest, so that not every item is hashed again for each change.
func (c *Config) digestOfDifference(changed *Config, change *Change) uint64 {
	sum := itemDigest("version", changed.Version) - itemDigest("version", c.Version)
	sum += itemDigest("limits", changed.Limits) - itemDigest("limits", c.Limits)
	sum += digestOfItems("route", c.Routes, change.Routes, change.RemovedRoutes, routeName)
	sum += digestOfItems("service", c.Services, change.Services, change.RemovedServices, serviceName)
	return sum
}

// digestOfItems is the digest of the items added less that of the items that they replace and of those removed.
func digestOfItems[Item any](kind string, items, upserts []Item, removed []string, name func(*Item) string) uint64 {
	var sum uint64
	leaving := make(map[string]bool, len(upserts)+len(removed))
	for _, one := range removed {
		leaving[one] = true
	}
	for i := range upserts {
		leaving[name(&upserts[i])] = true
		sum += itemDigest(kind, &upserts[i])
	}
	for i := range items {
		if leaving[name(&items[i])] {
			sum -= itemDigest(kind, &items[i])
		}
	}
	return sum
}

// Digest tells configurations apart by all that is known of them here. The order of items does not count.
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

// itemDigest hashes one item with its kind.
func itemDigest(kind string, item any) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(kind))
	encoder := json.NewEncoder(hash)
	_ = encoder.Encode(item) // plain fields can always be encoded
	return hash.Sum64()
}

// differentItems returns the items of to that from lacks or has otherwise, and the names that only from has.
func differentItems[Item any](from, to []Item, name func(*Item) string, same func(one, other *Item) bool) (upserts []Item, removed []string) {
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

// changeItems returns the items with some replaced, added and removed. The order of those that stay is kept.
func changeItems[Item any](items, upserts []Item, removed []string, name func(*Item) string) []Item {
	gone := make(map[string]bool, len(removed))
	for _, one := range removed {
		gone[one] = true
	}
	fresh := make(map[string]*Item, len(upserts))
	for i := range upserts {
		fresh[name(&upserts[i])] = &upserts[i]
	}
	result := make([]Item, 0, len(items)+len(upserts))
	for i := range items {
		key := name(&items[i])
		if gone[key] {
			continue
		}
		if replacement := fresh[key]; replacement != nil {
			result = append(result, *replacement)
			delete(fresh, key)
			continue
		}
		result = append(result, items[i])
	}
	for i := range upserts {
		if fresh[name(&upserts[i])] != nil {
			result = append(result, upserts[i])
		}
	}
	return result
}

func routeName(route *Route) string       { return route.Name }
func serviceName(service *Service) string { return service.Name }

func sameRoute(one, other *Route) bool { return *one == *other }

// sameService compares what the pointers lead to.
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
