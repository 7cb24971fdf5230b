package wireconv

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// MembersToWire converts member records to messages.
func MembersToWire(members []model.Member) []*wire.Member {
	out := make([]*wire.Member, 0, len(members))
	for _, member := range members {
		out = append(out, MemberToWire(member))
	}
	return out
}

// MembersFromWire converts received member records. It returns an error if any of
// them is malformed.
func MembersFromWire(messages []*wire.Member) ([]model.Member, error) {
	out := make([]model.Member, 0, len(messages))
	for _, message := range messages {
		member, err := MemberFromWire(message)
		if err != nil {
			return nil, err
		}
		out = append(out, member)
	}
	return out, nil
}

// MemberToWire converts one member record to a message.
func MemberToWire(m model.Member) *wire.Member {
	return &wire.Member{
		Id:              string(m.ID),
		Service:         string(m.Service),
		Domain:          string(m.Domain),
		TrafficAddress:  m.Addresses.Traffic,
		ControlAddress:  m.Addresses.Control,
		OperatorAddress: m.Addresses.Operator,
		Incarnation:     uint64(m.Announced.Incarnation),
		Presence:        uint32(m.Announced.Presence),
		Listed:          uint32(m.Listed),
		ListedAt:        uint64(m.ListedAt),
		Slots:           uint32(m.Slots),
		Started:         uint64(m.Started),

		WarmupMilliseconds: uint32(min(max(m.WarmupLeft.Milliseconds(), 0), math.MaxUint32)),
	}
}

// MemberFromWire converts one received member record. It returns an error if the
// ID is empty, or presence or listing is out of range.
func MemberFromWire(message *wire.Member) (model.Member, error) {
	if message.GetId() == "" {
		return model.Member{}, eris.New("member record has no instance ID")
	}
	if message.GetPresence() > uint32(model.PresenceGone) {
		return model.Member{}, eris.Errorf("member %q: unknown presence %d", message.GetId(), message.GetPresence())
	}
	if message.GetListed() > uint32(model.ListingRemoved) {
		return model.Member{}, eris.Errorf("member %q: unknown listing %d", message.GetId(), message.GetListed())
	}
	return model.Member{
		ID:      model.InstanceID(message.GetId()),
		Service: model.ServiceName(message.GetService()),
		Domain:  model.FailureDomain(message.GetDomain()),
		Addresses: model.Addresses{
			Traffic:  message.GetTrafficAddress(),
			Control:  message.GetControlAddress(),
			Operator: message.GetOperatorAddress(),
		},
		Announced: model.Announcement{
			Incarnation: model.Incarnation(message.GetIncarnation()),
			Presence:    model.Presence(message.GetPresence()),
		},
		Listed:   model.Listing(message.GetListed()),
		ListedAt: model.Revision(message.GetListedAt()),
		Slots:    int(message.GetSlots()),
		Started:  model.Incarnation(message.GetStarted()),

		WarmupLeft: time.Duration(message.GetWarmupMilliseconds()) * time.Millisecond,
	}, nil
}
