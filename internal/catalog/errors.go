package catalog

import (
	"strings"
)

// Fault is one error in a configuration.
type Fault struct {
	Item    string // such as `route "r-1"`
	Key     string // such as "timeoutMs"; empty if the item as a whole is invalid
	Problem string // what is wrong and what the value must be
}

// String writes the fault as "item: key: problem".
func (f Fault) String() string {
	if f.Key == "" {
		return f.Item + ": " + f.Problem
	}
	return f.Item + ": " + f.Key + ": " + f.Problem
}

// ValidationError lists every fault of a configuration that must not be put in force.
type ValidationError struct {
	Faults []Fault
}

// maxFaultsShown bounds the number of faults in an error's text.
const maxFaultsShown = 20

// Error returns the first faults with item and key.
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

// invalidJSON returns the error for an item that is not JSON of the expected type.
func invalidJSON(item string, cause error) *ValidationError {
	problem := "can't be read whole, send complete JSON: " + cause.Error()
	return &ValidationError{Faults: []Fault{{Item: item, Problem: problem}}}
}
