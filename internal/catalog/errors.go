package catalog

import (
	"strings"
)

// Fault is one thing wrong with a configuration.
type Fault struct {
	Item    string // such as `route "r-1"`
	Key     string // such as "timeoutMs"; empty where the whole item is at fault
	Problem string // what is wrong and what the value must be
}

// String writes the fault as "item: key: problem".
func (f Fault) String() string {
	if f.Key == "" {
		return f.Item + ": " + f.Problem
	}
	return f.Item + ": " + f.Key + ": " + f.Problem
}

// ValidationError lists every fault of a configuration that must not come into force.
type ValidationError struct {
	Faults []Fault
}

// maxFaultsShown bounds the length of an error's text.
const maxFaultsShown = 20

// Error lists the first faults by item and key.
func (e *ValidationError) Error() string {
	var text strings.Builder
	text.WriteString("configuration is not valid: ")
	for i, fault := range e.Faults {
		if i == maxFaultsShown {
			text.WriteString("; and more")
			break
		}
		if i > 0 {
			text.WriteString("; ")
		}
		text.WriteString(fault.String())
	}
	return text.String()
}

// unreadable returns the error of an item that is not JSON of the expected shape.
func unreadable(item string, cause error) *ValidationError {
	problem := "can't be read whole, send complete JSON: " + cause.Error()
	return &ValidationError{Faults: []Fault{{Item: item, Problem: problem}}}
}
