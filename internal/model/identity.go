// Package model holds the typed vocabulary of the system. It has no transport,
// encoding or concurrency of its own; values are treated as immutable once they
// are shared.
package model

import "strings"

// InstanceID names one backend server instance, and the node beside it,
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

// Revision is a revision of the platform's configuration service. It grows by
// at least one with every change of any value, over all keys.
type Revision uint64

// Incarnation tells the lives of a process under one instance ID apart. It is
// the start time in milliseconds since the Unix epoch, so it grows.
type Incarnation uint64

// RequestID identifies one request of a caller in the whole mesh.
type RequestID string
