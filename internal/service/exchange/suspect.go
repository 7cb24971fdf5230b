package exchange

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

// suspectHandler is implemented by the quarantine service, which not every node
// runs.
type suspectHandler interface {
	// HandleSuspects records the suspects that a node has sent and returns all suspects
	// of this node.
	HandleSuspects(node string, in []quarantine.Suspect) []quarantine.Suspect
}

// Suspect implements wire.Exchange.
func (s *Service) Suspect(_ context.Context, request *wire.SuspectRequest) (*wire.SuspectResponse, error) {
	if s.suspects == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this node has no quarantine")
	}
	now := s.clock.Now()
	known := s.suspects.HandleSuspects(request.GetNode(), wireconv.SuspectsFromWire(request.GetSuspects(), now))
	return &wire.SuspectResponse{Suspects: wireconv.SuspectsToWire(known, now)}, nil
}
