// Package rpc holds the generated messages and services of the internal protocol.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative rpc.proto
