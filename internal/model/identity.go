// Package model defines the domain types that the other packages share. It has
// no transport, encoding or concurrency of its own; values must not be modified
// once they are shared.
package model

import "strings"

// InstanceID names one backend server instance, and the node that runs with it,
// uniquely in the mesh.
type InstanceID string

// FailureDomain names a zone whose instances tend to fail together.
type FailureDomain string

// TeamName names the owner of one subtree of the settings tree.
type TeamName string

// ServiceName names a service of the mesh as "team/service".
type ServiceName string

// NewServiceName joins a team and the name of a service in its subtree.
func NewServiceName(team TeamName, name string) ServiceName {
	return ServiceName(string(team) + "/" + name)
}

// Team returns the team whose subtree declares the service.
func (s ServiceName) Team() TeamName {
	team, _, _ := strings.Cut(string(s), "/")
	return TeamName(team)
}

// Incarnation distinguishes successive processes under one instance ID. It is
// the start time of the process in milliseconds since the Unix epoch, so a later
// process has a greater one.
type Incarnation uint64

// RequestID identifies one request of a caller in the whole mesh.
type RequestID string
