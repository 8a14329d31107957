package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/core"
)

// ownKeys are the settings keys that belong to a single dispatcher; a fleet shares all others.
var ownKeys = []string{"me", "zone"}

// ErrSharedSettings is wrapped by the errors of WithShared.
var ErrSharedSettings = errors.New("shared settings")

// encodeShared returns the settings without ownKeys in a canonical encoding: JSON with sorted keys and no blanks. It returns an error if the
// settings or the result exceed core.MaxSharedBytes.
func encodeShared(settings []byte) ([]byte, error) {
	all, err := decodeObject(settings)
	if err != nil {
		return nil, err
	}
	for _, key := range ownKeys {
		delete(all, key)
	}
	text, err := json.Marshal(all)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	if len(text) > core.MaxSharedBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrSharedSettings, len(text), core.MaxSharedBytes)
	}
	return text, nil
}

// decodeObject decodes a single JSON object and keeps the text of its numbers, so that encoding it again doesn't change them.
func decodeObject(text []byte) (map[string]any, error) {
	if len(text) > core.MaxSharedBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrSharedSettings, len(text), core.MaxSharedBytes)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	if _, err := d.Token(); err != io.EOF || all == nil {
		return nil, fmt.Errorf("%w: must be exactly one JSON object", ErrSharedSettings)
	}
	return all, nil
}

// SharedSettings returns the settings that the dispatchers of a fleet share, as JSON. It is empty if they exceed core.MaxSharedBytes.
func (c Config) SharedSettings() []byte {
	text, err := encodeShared(c.rawSettings)
	if err != nil {
		return nil
	}
	return text
}

// WithShared returns the configuration with the shared settings replaced. The keys in ownKeys keep their values even if the given JSON
// contains them. The result is validated as the settings of a file are; on an error, which wraps ErrSharedSettings, c is returned unchanged.
func (c Config) WithShared(shared []byte) (Config, error) {
	all, err := decodeObject(shared)
	if err != nil {
		return c, err
	}
	mine, err := decodeObject(c.rawSettings)
	if err != nil {
		return c, err
	}
	for _, key := range ownKeys {
		delete(all, key)
		if v, has := mine[key]; has {
			all[key] = v
		}
	}
	raw, err := json.Marshal(all)
	if err != nil {
		return c, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	s, err := parseAndCheck(raw)
	if err != nil {
		return c, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	s.Seed = c.Settings.Seed
	c.Settings, c.rawSettings = s, raw
	return c, nil
}

// parseAndCheck parses and validates settings, and sets the defaults of the connection timeouts.
func parseAndCheck(text []byte) (choice.Settings, error) {
	s, err := ParseSettings(text)
	if err != nil {
		return s, err
	}
	if err := checkSettings(s); err != nil {
		return s, err
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeoutS
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = defaultIdleCloseS
	}
	return s, nil
}
