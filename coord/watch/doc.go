// Package watch carries versioned updates over long-lived HTTP responses.
//
// A Hub holds the newest value of a fixed number of parts. Each subscriber receives length-prefixed frames
// in one response without end: the first frame holds every part, a later one the header part and those parts
// that changed since the frame before. A subscriber that reads slowly skips versions in between, and never holds up the
// publisher or another subscriber. An empty frame tells that the publisher is alive.
//
// The package gives no meaning to the bytes of a part. A frame is the concatenation of its parts, which suits
// encodings that can be concatenated, such as the fields of one protobuf message.
package watch

import "time"

const (
	// KeepAliveInterval is the longest time between two frames of a healthy stream.
	KeepAliveInterval = time.Second
	// DefaultSilenceTimeout is the time without a frame after which a client takes the stream for dead.
	DefaultSilenceTimeout = 3 * time.Second
	// DefaultMaxFrameBytes is the default bound of one frame, in bytes.
	DefaultMaxFrameBytes = 32 << 20
	// LeaderHeader names, in a refusal, the host:port of the process that streams.
	LeaderHeader = "X-Leader"
)
