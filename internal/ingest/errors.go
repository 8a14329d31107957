package ingest

import "fmt"

// ListenError reports that an address of the dispatcher is not set or can't be listened on.
type ListenError struct {
	Address string // empty if an address is missing in the settings
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	if e.Address == "" {
		return "dispatcher has no addresses: set listen.front and listen.ready in the settings"
	}
	return fmt.Sprintf("can't listen on %s, free the port or change the settings: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
