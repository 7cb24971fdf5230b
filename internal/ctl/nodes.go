package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// maxCalls bounds the nodes that a command asks at the same time.
const maxCalls = 32

// nodeFlags select the nodes that a command asks.
type nodeFlags struct {
	Nodes   []string      `help:"Operator address of a node; may be repeated." name:"node" env:"GALENA_NODES" required:""`
	All     bool          `help:"Also ask the members that the given nodes know."`
	Timeout time.Duration `help:"Longest wait for one node." env:"GALENA_TIMEOUT" default:"3s"`
}

// reply is what one node answered.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// ask calls every address and returns the replies in the same order.
func ask[T any](addresses []string, call func(address string) (T, error)) []reply[T] {
	replies := make([]reply[T], len(addresses))
	slots := make(chan struct{}, maxCalls)
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			value, err := call(address)
			replies[i] = reply[T]{address, value, err}
		})
	}
	calls.Wait()
	return replies
}

// addresses returns the operator addresses of the selected nodes.
func (f *nodeFlags) addresses(ctx context.Context, client *status.Client) []string {
	addresses := slices.Clone(f.Nodes)
	if f.All {
		for _, r := range ask(f.Nodes, func(a string) ([]model.Member, error) { return client.Members(ctx, a) }) {
			addresses = append(addresses, memberAddresses(r.value)...)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (f *nodeFlags) reports(ctx context.Context, client *status.Client, addresses []string) []reply[status.Report] {
	return ask(addresses, func(address string) (status.Report, error) { return client.Report(ctx, address) })
}

func memberAddresses(members []model.Member) []string {
	var addresses []string
	for _, member := range members {
		if member.Present() && member.Addresses.Operator != "" {
			addresses = append(addresses, member.Addresses.Operator)
		}
	}
	return addresses
}

// printFailures lists the nodes that did not answer and returns an error if
// there are any.
func printFailures[T any](w io.Writer, replies []reply[T]) error {
	failed := 0
	for _, r := range replies {
		if r.err != nil {
			failed++
			fmt.Fprintf(w, "no answer from %s: %v\n", r.address, r.err)
		}
	}
	if failed > 0 {
		return eris.Errorf("%d of %d nodes did not answer", failed, len(replies))
	}
	return nil
}
