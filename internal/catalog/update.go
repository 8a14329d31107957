package catalog

import (
	"encoding/json"
	"fmt"
)

// document is a configuration whose items are left as they were sent, so that keys unknown here survive
// a change of other items.
type document struct {
	Version  uint64            `json:"version"`
	Routes   []json.RawMessage `json:"routes"`
	Services []json.RawMessage `json:"services"`
	Limits   json.RawMessage   `json:"limits,omitempty"`
}

// patch changes named items of a configuration.
type patch struct {
	Version uint64   `json:"version"`
	Upsert  document `json:"upsert"`
	Remove  removal  `json:"remove"`
}

// removal lists the names of items to remove.
type removal struct {
	Routes   []string `json:"routes"`
	Services []string `json:"services"`
}

// ApplyUpdate returns base with a patch applied: the items named under "remove" are removed, then those
// under "upsert" replace the items of their names or are added. Names to remove that are unknown are
// ignored. A nil base is empty. The result is checked whole, and its version must be above that of base.
// The error is a *ValidationError.
func ApplyUpdate(base *Config, data []byte) (*Config, error) {
	change := patch{}
	if err := json.Unmarshal(data, &change); err != nil {
		return nil, unreadable("update", err)
	}
	if base != nil && change.Version <= base.Version {
		return nil, oldVersion(change.Version, base.Version)
	}
	merged, err := documentOf(base)
	if err != nil {
		return nil, err
	}
	if err := merged.apply(&change); err != nil {
		return nil, err
	}
	whole, err := json.Marshal(merged)
	if err != nil {
		return nil, unreadable("update", err)
	}
	return Parse(whole)
}

// documentOf returns the items of a configuration.
func documentOf(config *Config) (*document, error) {
	result := &document{}
	if config == nil {
		return result, nil
	}
	data, err := config.Marshal()
	if err != nil {
		return nil, unreadable("configuration", err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return nil, unreadable("configuration", err)
	}
	return result, nil
}

// apply changes the document by a patch.
func (d *document) apply(change *patch) error {
	var err error
	if d.Routes, err = mergeItems("route", d.Routes, change.Upsert.Routes, change.Remove.Routes); err != nil {
		return err
	}
	if d.Services, err = mergeItems("service", d.Services, change.Upsert.Services, change.Remove.Services); err != nil {
		return err
	}
	if len(change.Upsert.Limits) > 0 && string(change.Upsert.Limits) != "null" {
		d.Limits = change.Upsert.Limits
	}
	d.Version = change.Version
	return nil
}

// mergeItems removes items by name, then replaces or adds others. The order of those that stay is kept.
func mergeItems(kind string, items, upserts []json.RawMessage, removals []string) ([]json.RawMessage, error) {
	removed := make(map[string]bool, len(removals))
	for _, name := range removals {
		removed[name] = true
	}
	result := make([]json.RawMessage, 0, len(items)+len(upserts))
	positions := make(map[string]int, len(items)+len(upserts))
	for _, item := range items {
		name, err := nameOf(kind, item)
		if err != nil {
			return nil, err
		}
		if removed[name] {
			continue
		}
		positions[name] = len(result)
		result = append(result, item)
	}
	return upsertItems(kind, result, positions, upserts)
}

// upsertItems puts each item in the place of the one of its name, or at the end. An update that names an
// item twice has both added, so that the check of the whole refuses it.
func upsertItems(kind string, items []json.RawMessage, positions map[string]int, upserts []json.RawMessage) ([]json.RawMessage, error) {
	seen := make(map[string]bool, len(upserts))
	for _, item := range upserts {
		name, err := nameOf(kind, item)
		if err != nil {
			return nil, err
		}
		position, known := positions[name]
		if known && !seen[name] {
			items[position] = item
		} else {
			items = append(items, item)
		}
		seen[name] = true
	}
	return items, nil
}

// nameOf reads the name of a route or service.
func nameOf(kind string, item json.RawMessage) (string, error) {
	named := struct {
		Name string `json:"name"`
	}{}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", unreadable(kind, err)
	}
	return named.Name, nil
}

func oldVersion(version, current uint64) *ValidationError {
	problem := fmt.Sprintf("%d must be above the current version %d", version, current)
	return &ValidationError{Faults: []Fault{{Item: "update", Key: "version", Problem: problem}}}
}
