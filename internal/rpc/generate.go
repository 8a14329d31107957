// Package rpc holds the protobuf messages and Twirp services of the internal protocol, and the encoding of the update stream.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative rpc.proto
