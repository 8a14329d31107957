package settings

import (
	"fmt"
	"sort"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// ReadError reports that the settings file can't be read or can't be parsed as YAML into Settings.
type ReadError struct {
	Path  string // empty if the content is faulty
	Cause error
}

// Error returns the cause and the remedy.
func (e *ReadError) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("settings can't be parsed: correct the YAML at the given position: %v", e.Cause)
	}
	return fmt.Sprintf("settings can't be read: set FOLDLB_SETTINGS to a readable file: %v", e.Cause)
}

func (e *ReadError) Unwrap() error { return e.Cause }

// ValidationError lists the keys of a settings file that are missing or have invalid values.
type ValidationError struct {
	Faults validation.Errors // by the path of the key, such as "listen.front"
}

// Error lists the keys in sorted order, each with the requirement that its value violates.
func (e *ValidationError) Error() string {
	keys := make([]string, 0, len(e.Faults))
	for key := range e.Faults {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var text strings.Builder
	text.WriteString("invalid settings:")
	for _, key := range keys {
		fmt.Fprintf(&text, " %s: %v;", key, e.Faults[key])
	}
	return strings.TrimSuffix(text.String(), ";")
}
