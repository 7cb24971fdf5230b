package model

// Self is the identity of this process.
type Self struct {
	ID          InstanceID
	Service     ServiceName
	Domain      FailureDomain
	Addresses   Addresses
	Incarnation Incarnation
}

// Member returns the record by which the process announces itself.
func (s Self) Member(p Presence) Member {
	return Member{
		ID:        s.ID,
		Service:   s.Service,
		Domain:    s.Domain,
		Addresses: s.Addresses,
		Announced: Announcement{Incarnation: s.Incarnation, Presence: p},
	}
}
