// Package watch streams versioned updates over long-lived HTTP responses.
//
// A Hub holds the newest value of a fixed number of parts. Each subscriber receives length-prefixed frames in
// one unending response: the first frame holds every part, later frames hold the header part and the parts that
// changed since the previous frame. A slow subscriber skips intermediate versions; it delays neither the
// publisher nor other subscribers. An empty frame is a keep-alive.
//
// The package does not interpret the bytes of a part. A frame is the concatenation of its parts, which suits
// encodings that can be concatenated, such as the fields of one protobuf message.
package watch

import "time"

const (
	// KeepAliveInterval is the longest time between two frames of a healthy stream.
	KeepAliveInterval = time.Second
	// DefaultSilenceTimeout is the time without a frame after which a client regards a stream as broken.
	DefaultSilenceTimeout = 3 * time.Second
	// DefaultMaxFrameBytes is the maximum frame length that a client accepts by default.
	DefaultMaxFrameBytes = 32 << 20
	// LeaderHeader is the response header that names the host:port of the streaming process in a refusal.
	LeaderHeader = "X-Leader"
)
