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

// maxConcurrentCalls is the maximum number of nodes that a command queries at the
// same time.
const maxConcurrentCalls = 32

// nodeFlags select the nodes that a command queries.
type nodeFlags struct {
	Nodes   []string      `help:"Operator address of a node; may be repeated." name:"node" env:"GALENA_NODES" required:""`
	All     bool          `help:"Also query the members that the given nodes know."`
	Timeout time.Duration `help:"Timeout of each request to a node." env:"GALENA_TIMEOUT" default:"3s"`
}

// nodeResult is the response of one node, or the error of the call.
type nodeResult[T any] struct {
	address string
	value   T
	err     error
}

// queryAll calls every address concurrently and returns the results in the order of
// the addresses.
func queryAll[T any](addresses []string, call func(address string) (T, error)) []nodeResult[T] {
	results := make([]nodeResult[T], len(addresses))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			value, err := call(address)
			results[i] = nodeResult[T]{address, value, err}
		})
	}
	calls.Wait()
	return results
}

// addresses returns the operator addresses of the selected nodes, sorted and without
// duplicates. With --all, a node that does not respond adds no members; the error is
// reported when the command queries the node itself.
func (f *nodeFlags) addresses(ctx context.Context, client *status.Client) []string {
	addresses := slices.Clone(f.Nodes)
	if f.All {
		for _, r := range queryAll(f.Nodes, func(a string) ([]model.Member, error) { return client.Members(ctx, a) }) {
			addresses = append(addresses, memberAddresses(r.value)...)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (f *nodeFlags) reports(ctx context.Context, client *status.Client, addresses []string) []nodeResult[status.Report] {
	return queryAll(addresses, func(address string) (status.Report, error) { return client.Report(ctx, address) })
}

// memberAddresses returns the operator addresses of the members that are present.
func memberAddresses(members []model.Member) []string {
	var addresses []string
	for _, member := range members {
		if member.Present() && member.Addresses.Operator != "" {
			addresses = append(addresses, member.Addresses.Operator)
		}
	}
	return addresses
}

// printFailures lists the nodes whose call failed and returns an error if there are
// any.
func printFailures[T any](w io.Writer, results []nodeResult[T]) error {
	failed := 0
	for _, r := range results {
		if r.err != nil {
			failed++
			fmt.Fprintf(w, "no answer from %s: %v\n", r.address, r.err)
		}
	}
	if failed > 0 {
		return eris.Errorf("%d of %d nodes did not answer", failed, len(results))
	}
	return nil
}
