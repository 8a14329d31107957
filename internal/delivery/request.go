package delivery

import (
	"strconv"
	"sync"
	"time"
)

const maxPooledBufferBytes = 64 << 10 // larger request buffers are left to the garbage collector

// requestBufferPool holds buffers for whole requests, so that each request goes out in one write.
var requestBufferPool = sync.Pool{New: func() any { return new([]byte) }}

func releaseBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBufferBytes {
		requestBufferPool.Put(buffer)
	}
}

// isWellFormed reports whether every field of the job fits its place in the request, so that no field can inject headers or a
// second request.
func isWellFormed(job *Job) bool {
	return isVisibleText(job.Method) && isVisibleText(job.Path) && isVisibleText(job.Host) &&
		isFieldValue(job.RequestID) && isFieldValue(job.OrderKey) && isFieldValue(job.ContentType)
}

// isVisibleText reports whether s is non-empty and contains neither spaces nor control characters.
func isVisibleText(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s contains no control characters other than tabs.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// appendRequest appends the whole request for a job. workerID is empty for a static endpoint.
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
	b = appendNumberField(b, headerDeadline, timeout.Milliseconds())
	b = appendNumberField(b, headerContentLength, int64(len(job.Body)))
	b = append(b, "\r\n"...)
	return append(b, job.Body...)
}

// appendField appends a header field, or nothing if value is empty.
func appendField(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendNumberField(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}
