package chaos

import (
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	host = "lelang.example"
	// offerDeadline is the deadline of the routes for offers, which are not idempotent.
	offerDeadline = 5 * time.Second
	// offerPath follows the path of a team.
	offerPath = "offers/"
	// readDeadline, bidDeadline and uploadDeadline are those of the example documents.
	readDeadline   = time.Second
	bidDeadline    = 3 * time.Second
	uploadDeadline = 5 * time.Minute
)

// The connections that clients keep to each node, and those that they leave unused.
const (
	keptConnections   = 4
	unusedConnections = 1
)

func workloads() []load.Workload {
	return []load.Workload{
		{Name: "read", Method: "GET", Host: host, Path: "/lots/", Idempotent: true, Rate: 80, ResponseBytes: 2000, RouteDeadline: readDeadline},
		{Name: "bid", Method: "POST", Host: host, Path: "/bids/", HasIdempotencyKey: true, Rate: 60, BodyBytes: 200, RouteDeadline: bidDeadline},
		{
			Name: "upload", Method: "POST", Host: host, Path: "/photographs/", Rate: 3,
			BodyBytes: 400_000, BodyTime: 2 * time.Second, Run: 200 * time.Millisecond, RouteDeadline: uploadDeadline,
		},
	}
}

// offerTeams are the teams with a route for offers.
var offerTeams = []model.TeamName{"bidding", "catalogue"}

// document returns the example document of a team, with a route for offers if the team
// takes some.
func document(team model.TeamName) []byte {
	text := declareWarmup(mesh.Egypt().Document(team))
	for _, offerTeam := range offerTeams {
		if team == offerTeam {
			text = mesh.AddUnsafeRoute(text, "offer", grantedPaths[team]+offerPath, string(team), offerDeadline)
		}
	}
	return text
}

// randomRequest returns a request of a client with kept connections: one in five is a
// read, the others are offers with a body of known length, in chunks, or in chunks with
// pauses. The work has a long tail.
func randomRequest(random *rand.Rand) load.Workload {
	const (
		shortestTimeout, timeoutSpan = 500 * time.Millisecond, 4500 * time.Millisecond
		shortestRun, runSpan         = 100 * time.Millisecond, 200 * time.Millisecond
		longRun                      = 2500 * time.Millisecond
		longOneIn                    = 6
		readOneIn                    = 5
		smallBody, largeBody         = 200, 8000
		shortestBodyTime             = 100 * time.Millisecond
		bodyTimeSpan                 = 900 * time.Millisecond
	)
	between := func(shortest, span time.Duration) time.Duration {
		return shortest + time.Duration(random.Int64N(int64(span)))
	}
	w := load.Workload{Host: host, Run: between(shortestRun, runSpan), Timeout: offerDeadline}
	if random.IntN(2) == 0 {
		w.Timeout = between(shortestTimeout, timeoutSpan).Truncate(time.Millisecond)
	}
	if random.IntN(readOneIn) == 0 {
		w.Name, w.Method, w.Path, w.Idempotent, w.RouteDeadline = "browse", "GET", "/lots/", true, readDeadline
		return w
	}
	if random.IntN(longOneIn) == 0 {
		w.Run = longRun
	}
	team := offerTeams[random.IntN(len(offerTeams))]
	w.Name, w.Method, w.Path, w.RouteDeadline = "offer", "POST", grantedPaths[team]+offerPath, offerDeadline
	w.BodyBytes = []int{smallBody, smallBody, largeBody}[random.IntN(3)]
	switch random.IntN(3) {
	case 0:
		w.Chunked = true
	case 1:
		w.Chunked, w.BodyTime = true, between(shortestBodyTime, bodyTimeSpan)
	}
	return w
}

// newKeptClients returns the clients that keep connections to every node.
func newKeptClients(m *mesh.Mesh, prefix string, seed uint64) *load.KeptClients {
	nodes := make([]func() string, len(m.Nodes))
	for i, n := range m.Nodes {
		nodes[i] = func() string { return n.Addresses().Callers }
	}
	return load.NewKeptClients(load.KeptConfig{
		Nodes: nodes, Connections: keptConnections, Unused: unusedConnections,
		Next: randomRequest, Prefix: prefix, Seed: seed,
	})
}
