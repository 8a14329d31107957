package ingest

import "fmt"

// ListenError says that an address of the dispatcher can't be listened on, or is not set.
type ListenError struct {
	Address string // empty where the settings leave one out
	Cause   error
}

// Error names the remedy.
func (e *ListenError) Error() string {
	if e.Address == "" {
		return "dispatcher has no addresses: set listen.front and listen.ready in the settings"
	}
	return fmt.Sprintf("can't listen on %s, free the port or change the settings: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
