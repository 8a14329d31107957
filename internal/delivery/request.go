package delivery

import (
	"strconv"
	"sync"
	"time"
)

const largestPooled = 64 << 10 // bytes of a request whose buffer is used again

// requestBuffers are buffers that whole requests are written into, so that each goes out in one write.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

func releaseBuffer(buffer *[]byte) {
	if cap(*buffer) <= largestPooled {
		requestBuffers.Put(buffer)
	}
}

// wellFormed tells whether no part of the job would break out of its place in the request.
func wellFormed(job *Job) bool {
	return isToken(job.Method) && isToken(job.Path) && isToken(job.Host) &&
		isFieldValue(job.RequestID) && isFieldValue(job.OrderKey) && isFieldValue(job.ContentType)
}

// isToken tells whether s is not empty and has neither spaces nor control characters.
func isToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue tells whether s has no control characters except tabs.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// appendRequest appends the whole request that delivers a job; workerID is empty for a static endpoint.
func appendRequest(b []byte, job *Job, timeout time.Duration, workerID string) []byte {
	b = append(b, job.Method...)
	b = append(b, ' ')
	b = append(b, job.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, headerHost, job.Host)
	b = appendField(b, headerRequestID, job.RequestID)
	b = appendField(b, headerOrderKey, job.OrderKey)
	b = appendField(b, headerExpectInstance, workerID)
	b = appendField(b, headerContentType, job.ContentType)
	b = appendNumber(b, headerDeadline, timeout.Milliseconds())
	b = appendNumber(b, headerContentLength, int64(len(job.Body)))
	b = append(b, "\r\n"...)
	return append(b, job.Body...)
}

// appendField appends a header field, or nothing where it has no value.
func appendField(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendNumber(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}
