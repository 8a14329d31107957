package ingest

import "sync"

const (
	bodyCopies        = 3 // copies of a body in memory: as read, as kept for retries, as encoded
	bodyMemoryDivisor = 4 // bodies in progress may take up to 1/4 of the memory
	maxInFlight       = 1024
	reservedFds       = 200 // descriptors that the platform reserves for files
	minConnections    = 64
	bytesPerMegabyte  = 1 << 20
)

// limiter bounds the requests in progress by number and by the size of their bodies. It is safe for concurrent
// use.
type limiter struct {
	maxBytes int

	mutex    sync.Mutex
	requests int
	bytes    int
}

func newLimiter(memoryMb int) *limiter {
	return &limiter{maxBytes: memoryMb * bytesPerMegabyte / bodyMemoryDivisor / bodyCopies}
}

// acquire admits a request with a body of the given size. It returns false, and admits nothing, if a limit
// would be exceeded.
func (l *limiter) acquire(bytes int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.requests >= maxInFlight || l.bytes+bytes > l.maxBytes {
		return false
	}
	l.requests++
	l.bytes += bytes
	return true
}

// release ends a request that acquire admitted with the same size.
func (l *limiter) release(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests--
	l.bytes -= bytes
	if l.requests < 0 || l.bytes < 0 {
		panic("ingest: limiter released more than it acquired, please report this bug")
	}
}

// maxConnections returns how many client connections fit the descriptor limit: two thirds of the descriptors.
// The rest is for connections to stores and control processes.
func maxConnections(maxFds int) int {
	return max((maxFds-reservedFds)*2/3, minConnections)
}
