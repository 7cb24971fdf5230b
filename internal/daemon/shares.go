package daemon

import (
	"syscall"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/resources"
	"github.com/galenalever/galenalever/internal/settings"
)

// bytesPerMebibyte converts the memory settings from MiB to bytes.
const bytesPerMebibyte = 1 << 20

// shares returns the limits of what connections may occupy, by the service that listens.
func shares(d *settings.Daemon, descriptors int) map[string]resources.Limits {
	s := resources.Divide(resources.Process{
		MemoryLimit: d.MemoryLimit * bytesPerMebibyte, Descriptors: descriptors,
		CallerBytes: d.CallerMemory * bytesPerMebibyte, CallerConnections: d.CallerConnections,
		Grace: d.CallerGrace, Rate: float64(d.CallerRate), KeptConnections: d.KeptConnections,
	})
	return map[string]resources.Limits{
		control.Ingress: s.Callers, control.Gate: s.Traffic, control.Exchange: s.Control, control.Operator: s.Operator,
	}
}

// descriptorLimit returns the maximum number of open files of the process, or 0 if it is
// not known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	const most = 1 << 20 // also if the system sets no limit
	return int(min(limit.Cur, most))
}
