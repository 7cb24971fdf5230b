// Package wire holds the generated types and Twirp stubs of the protocol
// between nodes. Only adapters at the edge of the system import it.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wire.proto wire.gate.proto
