package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
)

const (
	// redialDelay is the time between two attempts to connect to a node.
	redialDelay = 50 * time.Millisecond
	// patience is how long after its deadline a client still waits for a response.
	patience = 2 * time.Second
	// The pause between two requests on a connection is minPause and up to pauseSpan more.
	minPause  = 50 * time.Millisecond
	pauseSpan = 450 * time.Millisecond
)

// KeptConfig is the settings of clients with kept connections.
type KeptConfig struct {
	// Nodes return the current or last address for callers of each node.
	Nodes []func() string
	// Connections is the number of connections to each node on which requests are sent,
	// Unused the number of those that are opened and left unused.
	Connections, Unused int
	// Next returns a random request.
	Next func(*rand.Rand) Workload
	// Prefix is the prefix of the request IDs.
	Prefix string
	// Seed is the seed of the random choices.
	Seed uint64
}

// KeptClients send requests on connections that they keep to each node, also while the
// node drains. They drop a connection only once the node closes it or announces that it
// will, and connect again to the same node as long as it listens. Records may be called
// during Run.
type KeptClients struct {
	config KeptConfig

	mu      sync.Mutex
	next    int
	records []Record
}

// NewKeptClients returns clients that send nothing yet.
func NewKeptClients(c KeptConfig) *KeptClients { return &KeptClients{config: c} }

// Run sends requests until ctx ends, then waits for the responses to those in flight.
func (k *KeptClients) Run(ctx context.Context) {
	var running sync.WaitGroup
	for i, node := range k.config.Nodes {
		for j := range k.config.Connections {
			random := rand.New(rand.NewPCG(k.config.Seed, uint64(i*k.config.Connections+j)))
			running.Go(func() {
				k.reconnect(ctx, node, func(conn net.Conn) { k.use(ctx, conn, random) })
			})
		}
		for range k.config.Unused {
			running.Go(func() {
				k.reconnect(ctx, node, func(conn net.Conn) { leaveUnused(ctx, conn) })
			})
		}
	}
	running.Wait()
}

// Records returns a copy of the records of all requests that have ended.
func (k *KeptClients) Records() []Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.records)
}

// reconnect connects to a node until ctx ends, and again whenever the function is done
// with the connection.
func (k *KeptClients) reconnect(ctx context.Context, node func() string, use func(net.Conn)) {
	var dialer net.Dialer
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", node())
		if err == nil {
			use(conn)
			_ = conn.Close() // the node may have closed it
		}
		_ = clock.Wait(ctx, clock.System{}, redialDelay) // the loop checks ctx
	}
}

// leaveUnused waits until the node closes the connection or ctx ends.
func leaveUnused(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, _ = conn.Read(make([]byte, 1)) // ends with the connection
}

// use sends requests on a connection until it ends or ctx ends.
func (k *KeptClients) use(ctx context.Context, conn net.Conn, random *rand.Rand) {
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		workload := k.config.Next(random)
		id := k.nextID(workload)
		send, reusable := sendOn(conn, reader, workload, id)
		k.add(Record{ID: id, Workload: workload, Sends: []Send{send}})
		pause := minPause + time.Duration(random.Int64N(int64(pauseSpan)))
		if !reusable || !staysOpen(conn, reader, pause) {
			return
		}
	}
}

// staysOpen waits for a pause and reports whether the connection was open throughout.
func staysOpen(conn net.Conn, reader *bufio.Reader, pause time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(pause)) // fails only on a closed connection
	_, err := reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (k *KeptClients) nextID(workload Workload) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	return fmt.Sprintf("%s-%s-%d", k.config.Prefix, workload.Name, k.next)
}

func (k *KeptClients) add(r Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records = append(k.records, r)
}

// sendOn sends a request on a connection. The connection is reusable if the request was
// sent and answered completely and the node did not announce to close it.
func sendOn(conn net.Conn, reader *bufio.Reader, workload Workload, id string) (s Send, reusable bool) {
	address := conn.RemoteAddr().String()
	s = Send{Address: address, At: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	body := workload.body(id)
	request, err := newRequest(ctx, workload, id, address, body)
	if err != nil {
		cancel()
		s.Result, s.Detail = ResultCut, err.Error()
		return s, false
	}
	_ = conn.SetDeadline(s.At.Add(workload.Timeout + patience)) // fails only on a closed connection
	var written time.Time
	var writing sync.WaitGroup
	writing.Go(func() {
		if request.Write(conn) == nil {
			written = time.Now()
		}
	})
	s.Result, s.Detail, s.Status, reusable = readOn(reader, request, workload, id, body)
	s.Took = time.Since(s.At)
	cancel()
	if !reusable {
		_ = conn.Close() // ends the writing
	}
	writing.Wait()
	s.Written = written
	return s, reusable && !written.IsZero()
}

func readOn(reader *bufio.Reader, request *http.Request, workload Workload, id string, body []byte) (Result, string, int, bool) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return ResultCut, err.Error(), 0, false
	}
	defer response.Body.Close()
	result, detail := readResult(response, workload, id, body)
	return result, detail, response.StatusCode, result != ResultCut && !response.Close
}
