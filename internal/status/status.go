// Package status defines the report that a node serves on its operator port and
// a client for the tools that read it.
package status

import (
	"encoding/json"
	"time"

	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// The paths of the operator port.
const (
	PathStatus   = "/status"
	PathTimeline = "/timeline"
	PathMetrics  = "/metrics"
	PathMembers  = "/members"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
)

// Report is the response to PathStatus.
type Report struct {
	Instance    model.InstanceID    `json:"instance"`
	Service     model.ServiceName   `json:"service"`
	Domain      model.FailureDomain `json:"domain"`
	Addresses   model.Addresses     `json:"addresses"`
	Incarnation model.Incarnation   `json:"incarnation"`
	Uptime      time.Duration       `json:"uptime_ns"`
	Loop        kernel.LoopStats    `json:"loop"`
	// Presence is the presence that the node announces for its instance.
	Presence string `json:"presence"`
	// Members is the number of instances that the node knows.
	Members int     `json:"members"`
	Version Version `json:"version"`
	// Sections are added by the services of the node, under their names.
	Sections map[string]json.RawMessage `json:"sections"`
}

// Version identifies the configuration that a node knows and runs.
type Version struct {
	// Cut is the revision of the newest state known; 0 means none.
	Cut model.Revision `json:"cut"`
	// Running holds the revision of the accepted subtree of each key.
	Running map[model.Key]model.Revision `json:"running"`
	// Held lists the subtrees that the node knows but does not run.
	Held []model.HeldSubtree `json:"held"`
}

// NewVersion summarises a configuration, which may be nil.
func NewVersion(c *model.Configuration) Version {
	v := Version{Running: make(map[model.Key]model.Revision), Held: []model.HeldSubtree{}}
	if c == nil {
		return v
	}
	v.Cut = c.Cut.Revision
	v.Held = append(v.Held, c.Held...)
	for key, subtree := range c.Running {
		if !subtree.Removed {
			v.Running[key] = subtree.Revision
		}
	}
	return v
}
