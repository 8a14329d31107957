// Package responsecheck decides which bytes are HTTP/1.1 responses. Every reader of responses checks with it what it receives: what RFC 9112
// does not allow a server to send is not a response, so nothing may be concluded from it, neither success nor failure nor that a request has
// not run. The HTTP libraries accept more than that, each in ways of its own: they repair names, join folded lines, choose between
// contradictory lengths, or report a status that was never sent.
//
// RFC 9112 lets recipients repair some of this, and the check does not, with two exceptions that many servers need and on which no length
// depends: a status line without a reason phrase may lack the blank after the status, and a Content-Length of 0 may stand where a status has
// no body.
package responsecheck

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

const (
	maxLineBytes    = 1 << 20 // of a line of a head, a trailer or a chunk's size
	maxExcerptBytes = 80      // of a line in an error
)

// InvalidResponseError reports bytes that a server may not send. The response that they belong to proves nothing.
type InvalidResponseError struct {
	Reason error  // the rule that is broken
	Line   string // the beginning of the line that breaks it
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid HTTP response: %v in line %q: check the server for a fault", e.Reason, e.Line)
}

// Unwrap returns the reason.
func (e *InvalidResponseError) Unwrap() error { return e.Reason }

var (
	errLineEnd    = errors.New("line does not end with CR LF")
	errLineLength = errors.Errorf("line is longer than %d bytes", maxLineBytes)
	errChunkEnd   = errors.New("chunk does not end with CR LF after as many bytes as its size says")
)

// state is what the next bytes of the stream are.
type state int

const (
	inStatusLine state = iota
	inFields
	inBody // as long as Content-Length says
	inChunkSize
	inChunk
	inChunkEnd // the CR LF after the bytes of a chunk
	inTrailer
	unframed // a body that ends with the connection, or another protocol: anything may follow
)

// checker checks the responses on one connection, whose bytes it is given in order, in pieces of any size. The zero value expects the
// beginning of a response.
type checker struct {
	withoutBody bool // the responses are to HEAD requests
	state       state
	line        []byte // the beginning of a line that has not been received to its end
	head        head   // of the response that is being received
	remaining   int64  // bytes of the body or chunk that have not been received
}

// reset prepares the checker for the responses to requests with this method.
func (c *checker) reset(method string) {
	*c = checker{line: c.line[:0], withoutBody: method == http.MethodHead}
}

// check checks the next bytes. It returns how many of them are valid and an InvalidResponseError if that is not all of them; it must not be
// called again after that. An invalid line counts as valid without its end: a parser knows then that something has come, and cannot finish.
func (c *checker) check(received []byte) (valid int, err error) {
	rest := received
	for len(rest) > 0 {
		var used int
		switch c.state {
		case unframed:
			used = len(rest)
		case inBody, inChunk:
			used = c.skip(rest)
		default:
			if used, err = c.takeLine(rest); err != nil {
				return len(received) - len(rest) + used, err
			}
		}
		rest = rest[used:]
	}
	return len(received), nil
}

// skip passes over bytes of a body or chunk, and returns how many.
func (c *checker) skip(received []byte) int {
	used := int(min(int64(len(received)), c.remaining))
	c.remaining -= int64(used)
	if c.remaining > 0 {
		return used
	}
	if c.state == inChunk {
		c.state = inChunkEnd
	} else {
		c.state = inStatusLine
	}
	return used
}

// takeLine checks the line that the bytes begin with, or records them if the line continues. It returns how many bytes it has used.
func (c *checker) takeLine(received []byte) (used int, err error) {
	end := bytes.IndexByte(received, '\n')
	part := received
	if end >= 0 {
		part = received[:end]
	}
	if len(c.line)+len(part) > maxLineBytes {
		return len(part), invalid(errLineLength, part)
	}
	if end < 0 {
		c.line = append(c.line, part...)
		return len(part), nil
	}
	line := part
	if len(c.line) > 0 {
		c.line = append(c.line, part...)
		line = c.line
		c.line = c.line[:0]
	}
	if err := c.checkLine(line); err != nil {
		return end, invalid(err, line)
	}
	return end + 1, nil
}

// checkLine checks a line, given without its LF, and changes to the state after it.
func (c *checker) checkLine(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte{'\r'})
	if !ok {
		return errLineEnd
	}
	switch c.state {
	case inStatusLine:
		c.state = inFields
		return c.head.parseStatusLine(text)
	case inFields:
		if len(text) == 0 {
			c.endHead()
			return nil
		}
		return c.head.parseField(text)
	case inChunkSize:
		return c.startChunk(text)
	case inChunkEnd:
		c.state = inChunkSize
		if len(text) > 0 {
			return errChunkEnd
		}
		return nil
	default: // inTrailer
		if len(text) == 0 {
			c.state = inStatusLine
			return nil
		}
		return checkTrailerField(text)
	}
}

// endHead changes to the state after a head.
func (c *checker) endHead() {
	switch {
	case c.head.status == http.StatusSwitchingProtocols:
		c.state = unframed
	case c.withoutBody, !c.head.mayHaveBody():
		c.state = inStatusLine
	case c.head.chunked:
		c.state = inChunkSize
	case !c.head.hasLength:
		c.state = unframed
	case c.head.length == 0:
		c.state = inStatusLine
	default:
		c.state, c.remaining = inBody, c.head.length
	}
}

// startChunk parses the line before a chunk.
func (c *checker) startChunk(line []byte) error {
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	c.state, c.remaining = inChunk, size
	if size == 0 {
		c.state = inTrailer
	}
	return nil
}

func invalid(reason error, line []byte) error {
	return &InvalidResponseError{Reason: reason, Line: string(line[:min(len(line), maxExcerptBytes)])}
}
