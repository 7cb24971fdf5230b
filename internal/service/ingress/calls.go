package ingress

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/model"
)

// callObserver learns the results of the calls that this node's server makes.
type callObserver interface {
	// CallEnded reports a call to a service. A call that was refused for lack of capacity,
	// or was late, has not been answered.
	CallEnded(service model.ServiceName, answered bool, begun, now time.Time)
}

// reportCall reports the end of a request if this node's server made it. It must precede
// the response, since the server ends its run after it. Calls that failed for another
// reason than load are not reported: holding back work would not help the rest.
func (s *Service) reportCall(r *http.Request, q *call.Request, result *call.Result, begun time.Time) {
	if !s.isCall(r, q) || result.Response == nil && !lacksCapacity(result.Reason) {
		return
	}
	s.calls.CallEnded(q.Destination.Service.Name, result.Response != nil, begun, s.clock.Now())
}

// lacksCapacity reports whether a call without a response shows that the called service
// lacks capacity.
func lacksCapacity(reason model.Reason) bool {
	switch reason {
	case model.ReasonBusy, model.ReasonQueueFull, model.ReasonLate, model.ReasonDeadline,
		model.ReasonOverloaded, model.ReasonCallsRefused:
		return true
	default:
		return false
	}
}

// isCall reports whether a request is a call that this node's server makes while it runs
// another one.
func (s *Service) isCall(r *http.Request, q *call.Request) bool {
	return s.calls != nil && q.FinalAttempt && fromOwnHost(r)
}

// fromOwnHost reports whether a request comes from the host of this node, where its server
// runs. Other callers may, too.
func fromOwnHost(r *http.Request) bool {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	address := peer.Addr().Unmap()
	if address.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ok && local.AddrPort().Addr().Unmap() == address
}
