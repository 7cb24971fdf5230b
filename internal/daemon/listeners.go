package daemon

import (
	"net"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/settings"
)

// listeners are the listening sockets of a node. They are opened before the
// services are created, which need the node's own addresses.
type listeners struct {
	callers, traffic, control, operator net.Listener
}

// openListeners opens all listeners. The error reports every one that failed.
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

// close closes all listeners. The error of a listener that its service has already
// closed is ignored.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.traffic, l.control, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// addresses returns the addresses at which other nodes and tools reach this node.
func (l *listeners) addresses(d *settings.Daemon) model.Addresses {
	return model.Addresses{
		Traffic:  advertised(d.AdvertiseTraffic, l.traffic),
		Control:  advertised(d.AdvertiseControl, l.control),
		Operator: advertised(d.AdvertiseOperator, l.operator),
	}
}

// advertised returns the setting, or the listener's own address if it is empty.
func advertised(setting string, listener net.Listener) string {
	if setting != "" {
		return setting
	}
	return listener.Addr().String()
}
