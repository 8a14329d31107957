package catalog

import (
	"encoding/json"
	"fmt"
)

// document is a configuration whose items are kept as they were sent, so that keys unknown to this version survive a change
// of other items.
type document struct {
	Version  uint64            `json:"version"`
	Routes   []json.RawMessage `json:"routes"`
	Services []json.RawMessage `json:"services"`
	Limits   json.RawMessage   `json:"limits,omitempty"`
}

// patch adds, replaces and removes items of a configuration by name.
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

// ApplyUpdate returns base with a patch applied: first the items named under "remove" are removed, then those under "upsert"
// replace the items with the same name or are added. Unknown names under "remove" are ignored. A nil base is treated as
// empty. The result is validated as a whole, and its version must be above that of base. The error is a
// *ValidationError.
func ApplyUpdate(base *Config, data []byte) (*Config, error) {
	change := patch{}
	if err := json.Unmarshal(data, &change); err != nil {
		return nil, invalidJSON("update", err)
	}
	if base != nil && change.Version <= base.Version {
		return nil, staleVersion(change.Version, base.Version)
	}
	merged, err := toDocument(base)
	if err != nil {
		return nil, err
	}
	if err := merged.apply(&change); err != nil {
		return nil, err
	}
	whole, err := json.Marshal(merged)
	if err != nil {
		return nil, invalidJSON("update", err)
	}
	return Parse(whole)
}

// toDocument returns a configuration as a document; an empty one for nil.
func toDocument(config *Config) (*document, error) {
	result := &document{}
	if config == nil {
		return result, nil
	}
	data, err := config.Marshal()
	if err != nil {
		return nil, invalidJSON("configuration", err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return nil, invalidJSON("configuration", err)
	}
	return result, nil
}

// apply applies a patch to the document.
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

// mergeItems removes items by name, then replaces or adds others. The order of the remaining items is kept.
func mergeItems(kind string, items, upserts []json.RawMessage, removals []string) ([]json.RawMessage, error) {
	removed := make(map[string]bool, len(removals))
	for _, name := range removals {
		removed[name] = true
	}
	result := make([]json.RawMessage, 0, len(items)+len(upserts))
	positions := make(map[string]int, len(items)+len(upserts))
	for _, item := range items {
		name, err := itemNameFromJSON(kind, item)
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

// upsertItems replaces the item with the same name, or appends. If an update names an item twice both are kept, so that
// validation rejects the result.
func upsertItems(kind string, items []json.RawMessage, positions map[string]int, upserts []json.RawMessage) ([]json.RawMessage, error) {
	seen := make(map[string]bool, len(upserts))
	for _, item := range upserts {
		name, err := itemNameFromJSON(kind, item)
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

// itemNameFromJSON returns the name of a route or service.
func itemNameFromJSON(kind string, item json.RawMessage) (string, error) {
	named := struct {
		Name string `json:"name"`
	}{}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", invalidJSON(kind, err)
	}
	return named.Name, nil
}

func staleVersion(version, current uint64) *ValidationError {
	problem := fmt.Sprintf("%d must be above the current version %d", version, current)
	return &ValidationError{Faults: []Fault{{Item: "update", Key: "version", Problem: problem}}}
}
