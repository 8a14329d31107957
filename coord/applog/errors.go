package applog

import "github.com/pkg/errors"

var (
	// ErrFull is returned when the log has reached Options.MaxBytes or the disk has no space left. The log
	// stays usable: records can be read, and appends succeed again after a Rewrite or once space is free.
	ErrFull = errors.New("log full: rewrite it with fewer records, or free disk space")

	// ErrCorrupt is returned when the bytes at a position are not the record that was appended there.
	ErrCorrupt = errors.New("record corrupt: fetch its content from another copy")

	// ErrStalePosition is returned for a position from before the last Rewrite.
	ErrStalePosition = errors.New("stale log position: a rewrite has replaced it; look up the record in the new index")

	// ErrTooLarge is returned for a payload longer than MaxPayloadBytes.
	ErrTooLarge = errors.New("payload too large for one record: split it into parts below 16 MiB")

	// ErrWriteFailed is returned when a write or sync has failed for any reason other than lack of space.
	// The content of the file after the last successful sync is then unknown, so the log rejects all further
	// writes until it is opened again.
	ErrWriteFailed = errors.New("write to the log failed: restart the process to replay the records on disk")

	// ErrClosed is returned by calls on a closed log.
	ErrClosed = errors.New("log closed: open it again")
)

// writeFailedError is an ErrWriteFailed with the failed operation and the error of the operating system.
type writeFailedError struct {
	operation string
	cause     error
}

func (e *writeFailedError) Error() string {
	return ErrWriteFailed.Error() + " (" + e.operation + ": " + e.cause.Error() + ")"
}

// Is reports whether target is ErrWriteFailed.
func (e *writeFailedError) Is(target error) bool { return target == ErrWriteFailed }

func (e *writeFailedError) Unwrap() error { return e.cause }
