package daemon

import (
	"net"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/settings"
)

// listeners are the open ports of a node. They are opened before any service
// is built, so that the node knows its own addresses.
type listeners struct {
	callers, traffic, control, operator net.Listener
}

// openListeners opens all ports and reports every one that cannot be opened.
func openListeners(d *settings.Daemon) (*listeners, error) {
	var list findings.List
	open := func(flag, address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			list.Addf(findings.Location{Source: flag}, "%v", err)
		}
		return listener
	}
	l := &listeners{
		callers:  open("--listen", d.Listen),
		traffic:  open("--listen-traffic", d.ListenTraffic),
		control:  open("--listen-control", d.ListenControl),
		operator: open("--listen-operator", d.ListenOperator),
	}
	if err := list.Err(); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// close releases the ports. Closing one that its service closed already is
// harmless.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.traffic, l.control, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// addresses returns what other nodes and tools use to reach this one.
func (l *listeners) addresses(d *settings.Daemon) model.Addresses {
	return model.Addresses{
		Traffic:  advertised(d.AdvertiseTraffic, l.traffic),
		Control:  advertised(d.AdvertiseControl, l.control),
		Operator: advertised(d.AdvertiseOperator, l.operator),
	}
}

func advertised(setting string, listener net.Listener) string {
	if setting != "" {
		return setting
	}
	return listener.Addr().String()
}
