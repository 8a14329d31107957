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

// own are the keys of the settings that are a dispatcher's own; all others are shared by a fleet.
var own = []string{"me", "zone"}

// ErrSharedSettings says that a shared part can't be. Errors of With wrap it.
var ErrSharedSettings = errors.New("the settings' shared part")

// sharedOf is the part of the settings that the dispatchers of a fleet share, in one format: keys sorted, no blanks.
func sharedOf(settings []byte) ([]byte, error) {
	all, err := object(settings)
	if err != nil {
		return nil, err
	}
	for _, key := range own {
		delete(all, key)
	}
	text, err := json.Marshal(all)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	if len(text) > core.MaxSharedBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrSharedSettings, len(text), core.MaxSharedBytes)
	}
	return text, nil
}

// object reads a JSON object and keeps its numbers as they are written.
func object(text []byte) (map[string]any, error) {
	if len(text) > core.MaxSharedBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrSharedSettings, len(text), core.MaxSharedBytes)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	if _, err := d.Token(); err != io.EOF || all == nil {
		return nil, fmt.Errorf("%w: no object, or more than one", ErrSharedSettings)
	}
	return all, nil
}

// Shared is the part of the settings that the dispatchers of a fleet share, as text. It is empty where the settings are too large to pass on.
func (c Config) SharedSettings() []byte {
	text, err := sharedOf(c.raw)
	if err != nil {
		return nil
	}
	return text
}

// With is the same configuration on another shared part. What is a dispatcher's own stays, whatever the text says of it, and the rest is
// read and checked as a file's settings are: whole or not at all.
func (c Config) WithShared(shared []byte) (Config, error) {
	all, err := object(shared)
	if err != nil {
		return c, err
	}
	mine, err := object(c.raw)
	if err != nil {
		return c, err
	}
	for _, key := range own {
		delete(all, key)
		if v, has := mine[key]; has {
			all[key] = v
		}
	}
	raw, err := json.Marshal(all)
	if err != nil {
		return c, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	s, err := checked(raw)
	if err != nil {
		return c, fmt.Errorf("%w: %w", ErrSharedSettings, err)
	}
	s.Seed = c.Settings.Seed
	c.Settings, c.raw = s, raw
	return c, nil
}

// checked reads settings, checks them and sets what is absent.
func checked(text []byte) (choice.Settings, error) {
	s, err := ParseSettings(text)
	if err != nil {
		return s, err
	}
	if err := checkSettings(s); err != nil {
		return s, err
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = defaultIdleClose
	}
	return s, nil
}
