package responsecheck

import (
	"bufio"
	"io"
)

// source reads from a connection what is valid. After the first bytes that are not, it returns an InvalidResponseError for good.
type source struct {
	connection io.Reader
	checker    checker
	invalid    error
	withheld   int // bytes read from the connection and not passed on
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.invalid != nil {
		return 0, s.invalid
	}
	received, err := s.connection.Read(p)
	valid, invalid := s.checker.check(p[:received])
	if invalid == nil {
		return received, err
	}
	s.invalid = invalid
	s.withheld = received - valid
	return valid, invalid
}

// Reader buffers the responses on a connection. Those that are not valid cannot be read from it to their end.
type Reader struct {
	*bufio.Reader // not to be reset
	source        source
}

// NewReader returns a reader of the responses on a connection to requests with this method.
func NewReader(connection io.Reader, method string) *Reader {
	r := &Reader{Reader: bufio.NewReader(nil)}
	r.ResetTo(connection, method)
	return r
}

// ResetTo discards what is buffered and makes the reader ready for responses on a connection to requests with this method.
func (r *Reader) ResetTo(connection io.Reader, method string) {
	r.source.connection = connection
	r.source.checker.reset(method)
	r.source.invalid = nil
	r.source.withheld = 0
	r.Reader.Reset(&r.source)
}

// Cause returns the reason for an error of a parser that reads from this reader: an InvalidResponseError if the response is invalid, which
// parsers may report as an end of the connection, and otherwise the error itself, which may be nil.
func (r *Reader) Cause(err error) error {
	if err != nil && r.source.invalid != nil {
		return r.source.invalid
	}
	return err
}

// Pending returns the number of bytes that were received and not read, valid or not.
func (r *Reader) Pending() int { return r.Buffered() + r.source.withheld }
