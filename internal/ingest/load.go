package ingest

import "sync"

const (
	copiesInMemory  = 3 // of a body: as read, as kept for repeats, as encoded
	memoryShare     = 4 // bodies under way may take this fraction of the memory
	maxInFlight     = 1024
	reservedFds     = 200 // for files, by the platform
	minConnections  = 64
	bytesInMegabyte = 1 << 20
)

// load bounds the requests under way by number and by the bytes of their bodies. It is safe for concurrent use.
type load struct {
	maxBytes int

	mutex    sync.Mutex
	requests int
	bytes    int
}

func newLoad(memoryMb int) *load {
	return &load{maxBytes: memoryMb * bytesInMegabyte / memoryShare / copiesInMemory}
}

// enter takes a place for a request with a body of so many bytes. It reports false, and takes none, where a
// bound would be passed.
func (l *load) enter(bytes int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.requests >= maxInFlight || l.bytes+bytes > l.maxBytes {
		return false
	}
	l.requests++
	l.bytes += bytes
	return true
}

// leave gives a place back.
func (l *load) leave(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests--
	l.bytes -= bytes
	if l.requests < 0 || l.bytes < 0 {
		panic("ingest: more requests left than entered: report this as a defect")
	}
}

// maxConnections is the number of client connections that the descriptors allow: two thirds of them, the others
// being for connections to stores and control.
func maxConnections(maxFds int) int {
	return max((maxFds-reservedFds)*2/3, minConnections)
}
