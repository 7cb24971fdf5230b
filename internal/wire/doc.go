// Package wire contains the generated types and Twirp stubs of the protocol
// between nodes. Only wireconv and the services that send or receive its messages
// import it; the decision packages import neither wire nor wireconv.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wire.proto wire.gate.proto
