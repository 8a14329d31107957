package settings

import (
	"fmt"
	"sort"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// ReadError says that the settings file can't be read or is not YAML of the expected shape.
type ReadError struct {
	Path  string // empty where the content is at fault
	Cause error
}

// Error names the file and the remedy.
func (e *ReadError) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("settings can't be parsed: correct the YAML at the place named: %v", e.Cause)
	}
	return fmt.Sprintf("settings can't be read: set FOLDLB_SETTINGS to a readable file: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// ValidationError lists the keys of a settings file that are missing or wrong.
type ValidationError struct {
	Faults validation.Errors // by the path of the key, such as "listen.front"
}

// Error names each key and what its value must be.
func (e *ValidationError) Error() string {
	keys := make([]string, 0, len(e.Faults))
	for key := range e.Faults {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var text strings.Builder
	text.WriteString("settings are not valid:")
	for _, key := range keys {
		fmt.Fprintf(&text, " %s: %v;", key, e.Faults[key])
	}
	return strings.TrimSuffix(text.String(), ";")
}
