package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

const (
	versionPrefix   = "HTTP/1."
	statusStart     = len(versionPrefix) + 2 // after the minor version and a blank
	statusDigits    = 3
	lowestStatus    = 100
	highestStatus   = 599
	chunkedCoding   = "chunked"
	contentLength   = "Content-Length"
	transferCoding  = "Transfer-Encoding"
	decimalBase     = 10
	hexadecimalBase = 16
	sizeBits        = 63 // a size fits into an int64
)

// Rules that a response may break.
var (
	errStatusLine      = errors.New("status line is not HTTP/1.0 or HTTP/1.1, a blank, three digits, a blank and a reason phrase")
	errStatus          = errors.Errorf("status is not between %d and %d", lowestStatus, highestStatus)
	errReason          = errors.New("control byte in the reason phrase")
	errNoColon         = errors.New("no colon after the name of a field")
	errFolded          = errors.New("folded field")
	errName            = errors.New("name of a field is not a token followed by a colon")
	errValue           = errors.New("control byte in the value of a field")
	errLength          = errors.New("Content-Length is not a decimal number")
	errLengthTwice     = errors.New("two Content-Length fields")
	errLengthAndCoding = errors.New("both Content-Length and Transfer-Encoding")
	errLengthNoBody    = errors.New("Content-Length other than 0 for a status without a body")
	errCoding          = errors.New("Transfer-Encoding is not chunked")
	errCodingTwice     = errors.New("two Transfer-Encoding fields")
	errCodingVersion   = errors.New("Transfer-Encoding in HTTP/1.0")
	errCodingNoBody    = errors.New("Transfer-Encoding for a status without a body")
	errTrailerField    = errors.New("field about the length of the body in the trailer")
	errChunkSize       = errors.New("size of a chunk is not a hexadecimal number with valid extensions")
)

// head is what decides how long a response is.
type head struct {
	minorVersion byte // '0' or '1'
	status       int
	chunked      bool
	hasLength    bool
	length       int64
}

// isInterim reports whether a final response to the same request follows.
func (h *head) isInterim() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// mayHaveBody reports whether responses with the status have a body. That to a HEAD request has none either.
func (h *head) mayHaveBody() bool {
	return h.status >= http.StatusOK && h.status != http.StatusNoContent && h.status != http.StatusNotModified
}

// parseStatusLine starts a head: RFC 9112, section 4.
func (h *head) parseStatusLine(line []byte) error {
	*h = head{}
	end := statusStart + statusDigits
	if len(line) < end || string(line[:len(versionPrefix)]) != versionPrefix || line[statusStart-1] != ' ' {
		return errStatusLine
	}
	h.minorVersion = line[len(versionPrefix)]
	if h.minorVersion != '0' && h.minorVersion != '1' { // others are not defined, and the libraries differ in how they read them
		return errStatusLine
	}
	for _, digit := range line[statusStart:end] {
		if !isDigit(digit) {
			return errStatusLine
		}
		h.status = h.status*decimalBase + int(digit-'0')
	}
	if h.status < lowestStatus || h.status > highestStatus {
		return errStatus
	}
	reason := line[end:]
	if len(reason) > 0 && reason[0] != ' ' {
		return errStatusLine
	}
	if !isText(reason) {
		return errReason
	}
	return nil
}

// parseField checks a field line, and takes what it says of the length: RFC 9112, sections 5 and 6.
func (h *head) parseField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case equalName(name, contentLength):
		return h.parseLength(value)
	case equalName(name, transferCoding):
		return h.parseCoding(value)
	}
	return nil
}

func (h *head) parseLength(value []byte) error {
	if h.hasLength {
		return errLengthTwice
	}
	if h.chunked {
		return errLengthAndCoding
	}
	length, err := parseSize(value, decimalBase, isDigit)
	if err != nil {
		return errLength
	}
	if length > 0 && (h.isInterim() || h.status == http.StatusNoContent) {
		return errLengthNoBody
	}
	h.hasLength, h.length = true, length
	return nil
}

// parseCoding accepts the one coding that requests allow a server to use.
func (h *head) parseCoding(value []byte) error {
	switch {
	case h.chunked:
		return errCodingTwice
	case h.hasLength:
		return errLengthAndCoding
	case h.minorVersion == '0':
		return errCodingVersion
	case h.status < http.StatusOK, h.status == http.StatusNoContent:
		return errCodingNoBody
	case !equalName(value, chunkedCoding):
		return errCoding
	}
	h.chunked = true
	return nil
}

// checkTrailerField checks a field line after a chunked body.
func checkTrailerField(line []byte) error {
	name, _, err := splitField(line)
	if err != nil {
		return err
	}
	if equalName(name, contentLength) || equalName(name, transferCoding) {
		return errTrailerField
	}
	return nil
}

// splitField returns the name and the value of a field line.
func splitField(line []byte) (name, value []byte, err error) {
	if isBlank(line[0]) {
		return nil, nil, errFolded
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return nil, nil, errNoColon
	}
	if !isToken(name) {
		return nil, nil, errName
	}
	if !isText(value) {
		return nil, nil, errValue
	}
	return name, bytes.Trim(value, " \t"), nil
}

// parseChunkSize parses the line before a chunk: RFC 9112, section 7.1. Blanks between the parts of an extension are allowed to
// recipients alone.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := parseSize(digits, hexadecimalBase, isHexDigit)
	if err != nil || !validExtensions(line[len(digits):]) {
		return 0, errChunkSize
	}
	return size, nil
}

// parseSize parses a number without a sign.
func parseSize(digits []byte, base int, valid func(byte) bool) (int64, error) {
	for _, digit := range digits {
		if !valid(digit) {
			return 0, strconv.ErrSyntax
		}
	}
	size, err := strconv.ParseUint(string(digits), base, sizeBits)
	return int64(size), err
}
