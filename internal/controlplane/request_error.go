package controlplane

import (
	"fmt"
	"net/http"
)

// Refusal is a clear answer that an order was not taken and never will be in this form.
type RequestError struct {
	Status int    // of HTTP
	Reason string // names the fault and its remedy
}

func (r *RequestError) Error() string {
	return r.Reason
}

func reject(status int, format string, arguments ...any) *RequestError {
	return &RequestError{Status: status, Reason: fmt.Sprintf(format, arguments...)}
}

// versionMismatch refuses an order that builds on another version than the current one.
func versionMismatch(wanted, current uint64) *RequestError {
	return reject(http.StatusPreconditionFailed,
		"X-If-Version is %d and the current version is %d: read the configuration and build on it", wanted, current)
}
