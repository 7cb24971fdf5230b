// Package control defines the names of the services and the typed messages that
// they exchange on the control loop. It contains no behaviour.
package control

import (
	"time"

	"github.com/galenalever/galenalever/internal/decision/drain"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
)

// The names under which services register with the kernel.
const (
	Timeline   = "timeline"   // bounded ring of events
	Metrics    = "metrics"    // metrics scope
	Operator   = "operator"   // operators' HTTP listener
	Watchdog   = "watchdog"   // detection of process pauses
	Config     = "config"     // accepted configuration
	Membership = "membership" // instances of the mesh
	Source     = "source"     // reads the platform
	Exchange   = "exchange"   // state exchange with other nodes
	Routing    = "routing"    // route table
	Balancer   = "balancer"   // choice of a server for a request
	Forward    = "forward"    // attempts of requests at other nodes' gates
	Ingress    = "ingress"    // callers' HTTP listener
	Backend    = "backend"    // health and presence of the server beside this node
	Quarantine = "quarantine" // requests that crash servers
	Gate       = "gate"       // admission to the server beside this node

	Dependencies = "dependencies" // calls that the local server makes, and the kinds of requests that need them
	Resources    = "resources"    // account of the memory and connections that callers occupy
	Uplink       = "uplink"       // pace of the responses that the node sends over its link
)

// Origin identifies where received state came from.
type Origin struct {
	// Platform is true for the platform, false for a peer.
	Platform bool
	// Peer is the peer's instance ID or address; empty for the platform.
	Peer string
}

// String returns the origin for logs and the timeline.
func (o Origin) String() string {
	if o.Platform {
		return "platform"
	}
	return o.Peer
}

// CutReceived carries a complete cut read from the platform.
// Sent by source, handled by config.
type CutReceived struct {
	Cut model.Cut
}

// MessageName implements kernel.Message.
func (CutReceived) MessageName() string { return "cut-received" }

// DeltaReceived carries a peer's response to a poll.
// Sent by exchange, handled by config.
type DeltaReceived struct {
	From  Origin
	Delta replicate.Delta
	// Offered holds, for a bootstrap, the subtrees that further peers know or run. Where
	// the first peer holds a version back, they may run a newer one than it does.
	Offered [][]replicate.SubtreeDelta
}

// MessageName implements kernel.Message.
func (DeltaReceived) MessageName() string { return "delta-received" }

// WholeSubtreesNeeded follows a delta that failed its hash checks. The next
// poll requests the subtrees of the keys whole; with All it starts from cut
// revision 0, which yields the complete cut.
// Sent by config, handled by exchange.
type WholeSubtreesNeeded struct {
	From Origin
	Keys []model.Key
	All  bool
}

// MessageName implements kernel.Message.
func (WholeSubtreesNeeded) MessageName() string { return "whole-subtrees-needed" }

// ConfigurationChanged follows every new configuration snapshot, also when
// only the cut or the held subtrees changed.
// Sent by config.
type ConfigurationChanged struct {
	Configuration *model.Configuration
}

// MessageName implements kernel.Message.
func (ConfigurationChanged) MessageName() string { return "configuration-changed" }

// MembersReceived carries member records from a peer or the platform.
// Sent by source and exchange, handled by membership.
type MembersReceived struct {
	From    Origin
	Members []model.Member
	// Removed holds removals of instances that the sender of the message does not know.
	Removed []platformread.Removal
	// CompleteAt is the revision of a complete listing of the platform that Members and
	// earlier messages contain; 0 if there is none.
	CompleteAt model.Revision
}

// MessageName implements kernel.Message.
func (MembersReceived) MessageName() string { return "members-received" }

// MembersChanged follows every change of the member view. Changed holds the
// records that differ from the previous view.
// Sent by membership.
type MembersChanged struct {
	Changed []model.Member
}

// MessageName implements kernel.Message.
func (MembersChanged) MessageName() string { return "members-changed" }

// PresenceChanged reports that this node's own instance reached a new presence.
// Sent by backend (starting, ready) and by the daemon (leaving); handled by
// membership, gate and ingress.
type PresenceChanged struct {
	Presence model.Presence
}

// MessageName implements kernel.Message.
func (PresenceChanged) MessageName() string { return "presence-changed" }

// ServerObserved follows a check of the backend server that shows something about its
// warm-up. WentDown and Returned report that its health has changed. WarmupStated means that the server has
// stated how much longer it is cold, WarmupLeft; it precedes the change of health.
// Sent by backend, handled by gate.
type ServerObserved struct {
	WentDown, Returned bool
	WarmupLeft         time.Duration
	WarmupStated       bool
}

// MessageName implements kernel.Message.
func (ServerObserved) MessageName() string { return "server-observed" }

// DrainStarted tells when this node's accepted requests must have ended. It precedes
// the message that the node's presence is leaving.
// Sent by the daemon, handled by ingress and gate.
type DrainStarted struct {
	Plan drain.Plan
}

// MessageName implements kernel.Message.
func (DrainStarted) MessageName() string { return "drain-started" }

// ReadScope is what a node reads from the platform.
type ReadScope uint8

const (
	// ReadNothing is for a node that polls an upstream.
	ReadNothing ReadScope = iota
	// ReadInstances is for a new process that found no peer: it derives its rank and
	// the peers to poll from the list of instances. It is also for a reader whose link
	// cannot carry the configuration.
	ReadInstances
	// ReadAll is for a node that reads on behalf of its failure domain.
	ReadAll
)

// String returns the name used in logs.
func (s ReadScope) String() string {
	switch s {
	case ReadInstances:
		return "instances"
	case ReadAll:
		return "all"
	default:
		return "nothing"
	}
}

// ReadScopeChanged sets what this node reads from the platform.
// Sent by exchange, handled by source.
type ReadScopeChanged struct {
	Scope ReadScope
	// ReaderIndex is the number of readers of the failure domain that come before
	// this one.
	ReaderIndex int
	// Interim is true if the node reads only until it can follow another one.
	Interim bool
	// Known is a revision of the platform up to which the node knows all changes from
	// other nodes, or 0.
	Known model.Revision
}

// MessageName implements kernel.Message.
func (ReadScopeChanged) MessageName() string { return "read-scope-changed" }

// PlatformReached reports that the platform's list of instances has been read for
// the first time since the scope of reading changed, or again after failures, or, with
// Reached false, that it cannot be read.
// Sent by source, handled by exchange and source.
type PlatformReached struct {
	Reached bool
}

// MessageName implements kernel.Message.
func (PlatformReached) MessageName() string { return "platform-reached" }

// ConfigurationRead reports that the platform's configuration has been read, also if it has
// not changed, or, with Read false, that it cannot be read.
// Sent by source, handled by exchange.
type ConfigurationRead struct {
	Read bool
}

// MessageName implements kernel.Message.
func (ConfigurationRead) MessageName() string { return "configuration-read" }

// Paused reports that the process did not run for Gap. Services that hold leases or
// state observed from other processes treat it as expired; exchange and source do so.
// Sent by watchdog.
type Paused struct {
	Gap time.Duration
}

// MessageName implements kernel.Message.
func (Paused) MessageName() string { return "paused" }

// Synchronised reports that the node has received a current state from a peer or
// the platform, for the first time or again after a pause.
// Sent by exchange and source.
type Synchronised struct {
	From Origin
}

// MessageName implements kernel.Message.
func (Synchronised) MessageName() string { return "synchronised" }

// Refreshed follows the first Synchronised after the start and after each pause.
// Unlike Synchronised, which both senders may send, it is sent once for each start
// and pause.
// Sent by watchdog.
type Refreshed struct{}

// MessageName implements kernel.Message.
func (Refreshed) MessageName() string { return "refreshed" }
