package settings

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Load reads, completes and checks the settings file at path. Keys that the file leaves out take the
// defaults of this package. The error is a *ReadError or a *ValidationError.
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

// parse reads settings from the bytes of a file.
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
