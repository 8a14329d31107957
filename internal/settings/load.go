package settings

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Load reads and validates the settings file at path. Missing keys get the defaults of this package. The
// error is or wraps a *ReadError or a *ValidationError.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Cause: err}
	}
	settings, err := parse(data)
	if err != nil {
		return nil, errors.WithMessage(err, path)
	}
	settings.Path = path
	return settings, nil
}

// parse reads and validates settings from YAML.
func parse(data []byte) (*Settings, error) {
	settings := &Settings{}
	if err := yaml.Unmarshal(data, settings); err != nil {
		return nil, &ReadError{Cause: err}
	}
	settings.applyDefaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return settings, nil
}
