package resources

import "time"

// Process describes what a process may use in total.
type Process struct {
	// MemoryLimit is the soft memory limit in bytes; 0 means DefaultMemoryLimit.
	MemoryLimit int64
	// Descriptors is the maximum number of open files; 0 means DefaultDescriptors.
	Descriptors int
	// CallerBytes and CallerConnections replace the derived limits of callers' connections if
	// they are not 0.
	CallerBytes       int64
	CallerConnections int
	// Grace and Rate are those of callers' connections; see Limits. 0 means DefaultGrace
	// and DefaultRate.
	Grace time.Duration
	Rate  float64
	// KeptConnections replaces the derived number for connections of nodes if it is not 0;
	// see Limits.
	KeptConnections int
}

// The limits of a process that states none.
const (
	DefaultMemoryLimit = 256 << 20
	DefaultDescriptors = 1024
)

// The grace and the rate, in bytes per second, of callers' connections. Callers that share
// a link of 10 Mbit/s with 300 others have twice this rate.
const (
	DefaultGrace = time.Second
	DefaultRate  = 2 << 10
)

// Shares are the limits of the listeners of a process. Each has an account of its own, so
// that what callers occupy is never taken from nodes or operators.
type Shares struct{ Callers, Traffic, Control, Operator Limits }

const (
	// callerConnectionBytes is what a connection of a caller occupies: two goroutines,
	// the buffers of http.Server and a request (34 kB were measured).
	callerConnectionBytes = 32 << 10
	// nodeConnectionBytes is less, since connections of nodes are mostly idle.
	nodeConnectionBytes = 16 << 10
	// minControlBytes holds the largest message between nodes and its copies.
	minControlBytes = 12 << 20
	// maxOperatorConnections leaves room for tools beside the readiness probes.
	maxOperatorConnections = 128
	// operatorBytes is for the headers of requests of operators.
	operatorBytes = 1 << 20
	// maxControlConnections leaves most of the control share to messages. A node is
	// followed by about ten others.
	maxControlConnections = 256
	// operatorGrace is short, since readiness probes are small and come from nearby, and
	// fail if they wait behind other connections.
	operatorGrace = 250 * time.Millisecond
	// openGraceDivisor divides Grace to get OpenGrace: clients send as soon as they have
	// a connection.
	openGraceDivisor = 4
	// nodeIdleGrace is longer than nodes keep an idle connection (20 s): if it were closed
	// while a request is sent on it, the outcome of the request would be unknown.
	nodeIdleGrace = 25 * time.Second
	// Of four connections of nodes keptQuarters are kept after a response. With the default
	// memory limit these are 336 on the traffic port, more than the 300 of a usual load.
	keptQuarters = 3
	// nodeGrace and nodeRate allow for links between failure domains that are full.
	nodeGrace = time.Second
	nodeRate  = 1 << 10
)

// Divide returns the shares of a process. The rest of the memory and of the descriptors is
// for the state of the node, its own connections and the garbage collector.
func Divide(p Process) Shares {
	if p.MemoryLimit <= 0 {
		p.MemoryLimit = DefaultMemoryLimit
	}
	if p.Descriptors <= 0 {
		p.Descriptors = DefaultDescriptors
	}
	if p.Grace <= 0 {
		p.Grace = DefaultGrace
	}
	if p.Rate <= 0 {
		p.Rate = DefaultRate
	}
	node := Limits{ConnectionBytes: nodeConnectionBytes, Grace: nodeGrace, OpenGrace: nodeGrace, IdleGrace: nodeIdleGrace, Rate: nodeRate, Prompt: true}
	s := Shares{Traffic: node, Control: node}
	s.Callers = Limits{
		Bytes: p.MemoryLimit * 3 / 8, ConnectionBytes: callerConnectionBytes,
		Grace: p.Grace, OpenGrace: p.Grace / openGraceDivisor, IdleGrace: p.Grace, Rate: p.Rate,
	}
	if p.CallerBytes > 0 {
		s.Callers.Bytes = p.CallerBytes
	}
	// The rest, for headers and bodies, holds what nodes keep of 300 bodies at once.
	s.Callers.Connections = int(min(s.Callers.Bytes*9/20/callerConnectionBytes, int64(p.Descriptors)*3/8))
	if p.CallerConnections > 0 {
		s.Callers.Connections = p.CallerConnections
	}
	s.Traffic.Bytes = p.MemoryLimit / 4
	s.Traffic.Connections = int(min(s.Traffic.Bytes/2/nodeConnectionBytes, int64(p.Descriptors)/4))
	s.Control.Bytes, s.Control.Connections = max(p.MemoryLimit/8, minControlBytes), min(maxControlConnections, p.Descriptors/16)
	s.Traffic.KeptConnections, s.Control.KeptConnections = kept(s.Traffic, p), kept(s.Control, p)
	s.Operator = Limits{
		Bytes: maxOperatorConnections*callerConnectionBytes + operatorBytes, ConnectionBytes: callerConnectionBytes,
		Connections: min(maxOperatorConnections, p.Descriptors/8),
		Grace:       operatorGrace, OpenGrace: operatorGrace, IdleGrace: operatorGrace, Rate: p.Rate, Prompt: true,
	}
	return s
}

func kept(l Limits, p Process) int {
	if p.KeptConnections > 0 {
		return p.KeptConnections
	}
	return max(1, l.Connections*keptQuarters/4)
}
