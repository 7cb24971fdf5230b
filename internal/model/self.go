package model

// Self identifies this process to other nodes.
type Self struct {
	ID          InstanceID
	Service     ServiceName
	Domain      FailureDomain
	Addresses   Addresses
	Incarnation Incarnation
}

// Member returns the record that announces the process with presence p.
func (s Self) Member(p Presence) Member {
	return Member{
		ID:        s.ID,
		Service:   s.Service,
		Domain:    s.Domain,
		Addresses: s.Addresses,
		Announced: Announcement{Incarnation: s.Incarnation, Presence: p},
	}
}
