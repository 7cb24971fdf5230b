// Package settings defines the process settings of the daemon. Every setting is
// a flag and an environment variable; all errors are reported together.
package settings

import (
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// AdmissionUnbounded is the value of --admission that queues every request
// without a limit.
const AdmissionUnbounded = "unbounded"

// ThrottleOff is the value of --throttle that sends requests to gates also while these
// refuse most of them.
const (
	ThrottleOff = "off"
	// DependentWorkRun is the value of --dependent-work that runs requests although their
	// calls fail.
	// calls fail.
	DependentWorkRun = "run"
)

// maxHedgePercent is the largest value of --hedge-percent. More hedges than that would be a
// second load rather than a remedy for the slowest requests.
const maxHedgePercent = 20

// Daemon holds the settings of one node. The tags are read by kong.
type Daemon struct {
	Instance string `help:"ID of the backend server instance; unique in the mesh." env:"GALENA_INSTANCE" required:""`
	Service  string `help:"Service of the backend server, as team/service." env:"GALENA_SERVICE" required:""`
	Domain   string `help:"Failure domain of the instance." env:"GALENA_DOMAIN" required:""`

	Backend        string        `help:"URL of this node's backend server." env:"GALENA_BACKEND" required:""`
	HealthPath     string        `help:"Path of the backend server's health check." env:"GALENA_HEALTH_PATH" default:"/healthz"`
	HealthInterval time.Duration `help:"Time between two health checks." env:"GALENA_HEALTH_INTERVAL" default:"1s"`

	PassiveHealth bool `help:"Treat the backend server as healthy, and check it only after requests have failed." env:"GALENA_PASSIVE_HEALTH"`

	Platform     string        `help:"URL of the platform's configuration service." env:"GALENA_PLATFORM" required:""`
	Peers        []string      `help:"Control addresses of nodes from which a new process bootstraps." env:"GALENA_PEERS" name:"peer"`
	Direct       bool          `help:"For a platform that lists backend servers under IDs that their nodes do not know: nodes find each other by address and follow each other, and announce nothing." env:"GALENA_DIRECT"`
	Bandwidth    float64       `help:"Bandwidth of the node's link in Mbit/s, which limits the bodies that it receives at a time, and paces the responses that it sends; 0 means no limit." env:"GALENA_BANDWIDTH" default:"0"`
	MaxStale     time.Duration `help:"How long the node refuses requests after a pause of its process while it cannot synchronise; 0 means until it has synchronised." env:"GALENA_MAX_STALE" default:"0s"`
	BootstrapFor time.Duration `help:"How long a new process tries to bootstrap from other nodes before it reads the platform itself." env:"GALENA_BOOTSTRAP_FOR" default:"2s"`

	Listen         string `help:"Address for callers." env:"GALENA_LISTEN" default:"127.0.0.1:0"`
	ListenTraffic  string `help:"Address for requests from other nodes." env:"GALENA_LISTEN_TRAFFIC" default:"127.0.0.1:0"`
	ListenControl  string `help:"Address for exchanges with other nodes." env:"GALENA_LISTEN_CONTROL" default:"127.0.0.1:0"`
	ListenOperator string `help:"Address for operators: status, timeline, metrics." env:"GALENA_LISTEN_OPERATOR" default:"127.0.0.1:0"`

	AdvertiseTraffic  string `help:"Traffic address that other nodes use; default is the listener's." env:"GALENA_ADVERTISE_TRAFFIC"`
	AdvertiseControl  string `help:"Control address that other nodes use; default is the listener's." env:"GALENA_ADVERTISE_CONTROL"`
	AdvertiseOperator string `help:"Operator address that tools use; default is the listener's." env:"GALENA_ADVERTISE_OPERATOR"`

	DrainServe   time.Duration `help:"How long a node that shuts down still accepts requests from other nodes for its backend server." env:"GALENA_DRAIN_SERVE" default:"0s"`
	DrainLead    time.Duration `help:"How long a node that shuts down still accepts callers, so that they are sent elsewhere first." env:"GALENA_DRAIN_LEAD" default:"0s"`
	DrainTimeout time.Duration `help:"Longest wait for running requests at shutdown." env:"GALENA_DRAIN_TIMEOUT" default:"5m"`

	RememberFor time.Duration `help:"How long a gate remembers finished requests that are not idempotent, so that repeats of them do not run again." env:"GALENA_REMEMBER_FOR" default:"10m"`

	WarmupExcess float64 `help:"Factor by which the requests at a cold server may exceed the rate that its service declares." env:"GALENA_WARMUP_EXCESS" default:"1"`
	WarmupSlack  float64 `help:"Requests per second at a cold server that the mesh tolerates beyond that; the gate leaves them as a margin." env:"GALENA_WARMUP_SLACK" default:"0"`

	Balancer      string `help:"Policy for the choice of a server: adaptive, or random or reported as baselines for experiments." env:"GALENA_BALANCER" enum:"adaptive,random,reported" default:"adaptive"`
	Admission     string `help:"Admission policy of the gate: bounded, or unbounded as a baseline for experiments." env:"GALENA_ADMISSION" enum:"bounded,unbounded" default:"bounded"`
	Throttle      string `help:"Policy of the caller's node while gates refuse most requests of a service: adaptive refuses a share of them before the first hop, by priority; off sends all to the gates, as a baseline for experiments." env:"GALENA_THROTTLE" enum:"adaptive,off" default:"adaptive"`
	HedgePercent  int    `help:"Largest number of hedges for 100 requests of a service, from 0 (off) to 20: requests of idempotent routes with an objective that are sent to a second server too because the first one is slow." env:"GALENA_HEDGE_PERCENT" default:"0"`
	DependentWork string `help:"What the gate does with requests whose calls to other services fail now: run them, or limit their number." env:"GALENA_DEPENDENT_WORK" enum:"limit,run" default:"run"`

	CallerMemory      int64         `help:"Memory in MiB that callers' connections and requests may occupy; 0 means three eighths of the memory limit." env:"GALENA_CALLER_MEMORY" default:"0"`
	CallerConnections int           `help:"Largest number of callers' connections; 0 means a number derived from the memory and the descriptors of the process." env:"GALENA_CALLER_CONNECTIONS" default:"0"`
	CallerRate        int64         `help:"Rate in bytes per second; a caller that sends or reads more slowly may be disconnected when others need its memory." env:"GALENA_CALLER_RATE" default:"2048"`
	CallerGrace       time.Duration `help:"How long a caller may be slower than that rate, or idle, before it may be disconnected when others need its memory." env:"GALENA_CALLER_GRACE" default:"1s"`
	KeptConnections   int           `help:"Number of open connections of other nodes up to which one is kept after a response; 0 means three quarters of the largest number." env:"GALENA_KEPT_CONNECTIONS" default:"0"`

	MemoryLimit    int64 `help:"Soft memory limit in MiB, above which the garbage collector runs more often; 0 means no limit." env:"GALENA_MEMORY_LIMIT" default:"56"`
	GarbagePercent int   `help:"Heap growth in percent that triggers the garbage collector; 0 means the default of the Go runtime." env:"GALENA_GARBAGE_PERCENT" default:"0"`
	Profiling      bool  `help:"Serve the pages of net/http/pprof on the operator port." env:"GALENA_PROFILING"`

	LogFormat string `help:"Log format: text or json." env:"GALENA_LOG_FORMAT" enum:"text,json" default:"json"`
	LogLevel  string `help:"Lowest level logged: debug, info, warn or error." env:"GALENA_LOG_LEVEL" enum:"debug,info,warn,error" default:"info"`
}

// Check returns one finding for each invalid setting.
func (d *Daemon) Check() findings.List {
	var list findings.List
	checkName(&list, "--instance", d.Instance)
	checkName(&list, "--domain", d.Domain)
	checkServiceName(&list, d.Service)
	checkURL(&list, "--backend", d.Backend)
	checkURL(&list, "--platform", d.Platform)
	if !strings.HasPrefix(d.HealthPath, "/") {
		list.Addf(flagLocation("--health-path"), "%q does not start with /", d.HealthPath)
	}
	checkPositive(&list, "--health-interval", d.HealthInterval)
	checkNotNegative(&list, "--bootstrap-for", d.BootstrapFor)
	checkNotNegative(&list, "--remember-for", d.RememberFor)
	checkNotNegative(&list, "--max-stale", d.MaxStale)
	checkNotNegative(&list, "--drain-lead", d.DrainLead)
	checkNotNegative(&list, "--drain-serve", d.DrainServe)
	checkPositive(&list, "--drain-timeout", d.DrainTimeout)
	for _, peer := range d.Peers {
		checkAddress(&list, "--peer", peer)
	}
	checkAddress(&list, "--listen", d.Listen)
	checkAddress(&list, "--listen-traffic", d.ListenTraffic)
	checkAddress(&list, "--listen-control", d.ListenControl)
	checkAddress(&list, "--listen-operator", d.ListenOperator)
	checkOptionalAddress(&list, "--advertise-traffic", d.AdvertiseTraffic)
	checkOptionalAddress(&list, "--advertise-control", d.AdvertiseControl)
	checkOptionalAddress(&list, "--advertise-operator", d.AdvertiseOperator)
	if d.WarmupExcess < 0 {
		list.Addf(flagLocation("--warmup-excess"), "%g is negative", d.WarmupExcess)
	}
	if d.WarmupSlack < 0 {
		list.Addf(flagLocation("--warmup-slack"), "%g is negative", d.WarmupSlack)
	}
	if d.Bandwidth < 0 {
		list.Addf(flagLocation("--bandwidth"), "%g is negative", d.Bandwidth)
	}
	if d.HedgePercent < 0 || d.HedgePercent > maxHedgePercent {
		list.Addf(flagLocation("--hedge-percent"), "%d is not between 0 and %d", d.HedgePercent, maxHedgePercent)
	}
	if d.GarbagePercent < 0 {
		list.Addf(flagLocation("--garbage-percent"), "%d is negative", d.GarbagePercent)
	}
	if d.CallerMemory < 0 {
		list.Addf(flagLocation("--caller-memory"), "%d is negative", d.CallerMemory)
	}
	if d.CallerConnections < 0 {
		list.Addf(flagLocation("--caller-connections"), "%d is negative", d.CallerConnections)
	}
	if d.KeptConnections < 0 {
		list.Addf(flagLocation("--kept-connections"), "%d is negative", d.KeptConnections)
	}
	if d.CallerRate < 0 {
		list.Addf(flagLocation("--caller-rate"), "%d is negative", d.CallerRate)
	}
	checkNotNegative(&list, "--caller-grace", d.CallerGrace)
	if d.MemoryLimit < 0 {
		list.Addf(flagLocation("--memory-limit"), "%d is negative", d.MemoryLimit)
	}
	return list
}

// ServiceName returns the service of the backend server.
func (d *Daemon) ServiceName() model.ServiceName { return model.ServiceName(d.Service) }

func flagLocation(name string) findings.Location { return findings.Location{Source: name} }

func checkName(list *findings.List, name, value string) {
	if value == "" || strings.ContainsAny(value, " \t\n/") {
		list.Addf(flagLocation(name), "%q is not a name: it must not be empty or contain spaces or slashes", value)
	}
}

func checkServiceName(list *findings.List, value string) {
	team, service, ok := strings.Cut(value, "/")
	if !ok || team == "" || service == "" || strings.ContainsAny(service, "/ ") {
		list.Addf(flagLocation("--service"), "%q is not of the form team/service", value)
	}
}

func checkURL(list *findings.List, name, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		list.Addf(flagLocation(name), "%q is not an http or https URL", value)
	}
}

func checkAddress(list *findings.List, name, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		list.Addf(flagLocation(name), "%q is not host:port", value)
	}
}

func checkOptionalAddress(list *findings.List, name, value string) {
	if value != "" {
		checkAddress(list, name, value)
	}
}

func checkPositive(list *findings.List, name string, value time.Duration) {
	if value <= 0 {
		list.Addf(flagLocation(name), "%s is not a positive duration", value)
	}
}

func checkNotNegative(list *findings.List, name string, value time.Duration) {
	if value < 0 {
		list.Addf(flagLocation(name), "%s is negative", value)
	}
}
