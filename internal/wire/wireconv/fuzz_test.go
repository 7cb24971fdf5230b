package wireconv_test

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

func marshal(f *testing.F, m proto.Message) []byte {
	f.Helper()
	encoded, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	return encoded
}

// FuzzMember decodes arbitrary bytes. An accepted member is the same after
// encoding and decoding again.
func FuzzMember(f *testing.F) {
	f.Add(marshal(f, wireconv.MemberToWire(model.Member{ID: "i", Service: "t/s", Listed: model.ListingLive})))
	f.Add(marshal(f, &wire.Member{Id: "i", Presence: 5}))
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var message wire.Member
		if proto.Unmarshal(encoded, &message) != nil {
			return
		}
		member, err := wireconv.MemberFromWire(&message)
		if err != nil {
			return
		}
		again, err := wireconv.MemberFromWire(wireconv.MemberToWire(member))
		if err != nil || again != member {
			t.Fatalf("%+v became %+v, %v", member, again, err)
		}
	})
}

// FuzzSuspect checks the same for suspects.
func FuzzSuspect(f *testing.F) {
	f.Add(marshal(f, &wire.Suspect{Fingerprint: 1, Crashes: []*wire.Crash{{Instance: "i", Time: 2}}, ExpiresInMilliseconds: 9}))
	f.Add(marshal(f, &wire.Suspect{ExpiresInMilliseconds: 1<<32 - 1}))
	f.Add([]byte{0x12, 0x00})
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var message wire.Suspect
		if proto.Unmarshal(encoded, &message) != nil {
			return
		}
		suspects := wireconv.SuspectsFromWire([]*wire.Suspect{&message}, now)
		again := wireconv.SuspectsFromWire(wireconv.SuspectsToWire(suspects, now), now)
		if !reflect.DeepEqual(suspects, again) {
			t.Fatalf("%+v became %+v", suspects, again)
		}
	})
}
