package controlplane

import (
	"fmt"
	"net/http"
)

// RequestError reports that a request was not applied and never will be in its present form.
type RequestError struct {
	Status int    // HTTP status
	Reason string // the cause and its remedy
}

func (r *RequestError) Error() string {
	return r.Reason
}

func reject(status int, format string, arguments ...any) *RequestError {
	return &RequestError{Status: status, Reason: fmt.Sprintf(format, arguments...)}
}

// versionMismatch rejects a change request that is not based on the current version.
func versionMismatch(requested, current uint64) *RequestError {
	return reject(http.StatusPreconditionFailed,
		"X-If-Version is %d but the current version is %d: read the configuration and base the change on it", requested, current)
}
