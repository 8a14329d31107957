package applog

import "github.com/pkg/errors"

var (
	// ErrFull says that the log has reached Options.MaxBytes or that the disk has no space. The log stays
	// usable: records can be read, and appends succeed again after a Rewrite or when space was freed.
	ErrFull = errors.New("the log is full: rewrite it with fewer records, or free space on the disk")

	// ErrCorrupt says that the bytes at a position aren't the record that was appended there.
	ErrCorrupt = errors.New("the record is corrupt: fetch its content from another copy")

	// ErrStalePosition says that a position was given out before the last Rewrite.
	ErrStalePosition = errors.New("the position is from before a rewrite: look the record up again in the new index")

	// ErrTooLarge says that a payload is longer than MaxPayloadBytes.
	ErrTooLarge = errors.New("the payload is too large for one record: split it below 16 MiB")

	// ErrWriteFailed says that a write or a sync failed for another reason than space. What the file holds since
	// the last sync is unknown, so the log refuses all further writes.
	ErrWriteFailed = errors.New("the disk failed the log: restart the process, which replays what was kept")

	// ErrClosed says that the log was closed.
	ErrClosed = errors.New("the log is closed: open it again")
)

// failedError is an ErrWriteFailed with the cause that the system reported.
type failedError struct {
	operation string
	cause     error
}

func (e *failedError) Error() string {
	return ErrWriteFailed.Error() + " (" + e.operation + ": " + e.cause.Error() + ")"
}

// Is reports whether target is ErrWriteFailed.
func (e *failedError) Is(target error) bool { return target == ErrWriteFailed }

// Unwrap returns the cause that the system reported.
func (e *failedError) Unwrap() error { return e.cause }
