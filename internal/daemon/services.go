package daemon

import (
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/settings"
)

// services returns the services of a node in start order. They stop in the
// reverse order, so what takes requests comes last.
func services(_ *settings.Daemon) []kernel.Service {
	return nil
}
