// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"testing"

	. "github.com/onsi/gomega"

	"dewpass.org/internal/clock"
	"dewpass.org/lease"
	"dewpass.org/wire"
)

// ownedRacks are racks that are owned and never change.
type ownedRacks struct {
	Racks
	owned map[string]lease.Epoch
}

func (r ownedRacks) Owned() map[string]lease.Epoch { return r.owned }

func TestARackIsGivenUpOnlyByTheStartOfItsOwnerThatItsRowNames(t *testing.T) {
	claims := []*wire.Rack{{Rack: "r", EpochTable: 1}}
	for what, c := range map[string]struct {
		boot  string
		racks []*wire.Rack
		rack  string
		want  bool
	}{
		"it claims the rack no more":                   {"b", nil, "r", true},
		"it claims the rack still":                     {"b", claims, "r", false},
		"another start of it was heard":                {"former", nil, "r", false},
		"the rack is not owned here, only unclaimed":   {"b", nil, "other", false},
		"the rack is owned here, and it claims others": {"b", []*wire.Rack{{Rack: "x"}}, "r", true},
	} {
		t.Run(what, func(t *testing.T) {
			k := &Keeper{
				Hall: "h", Peers: NewPeers("two", "h", nil),
				Racks: ownedRacks{owned: map[string]lease.Epoch{"r": {Table: 1, Local: 1}}},
			}
			k.Peers.Heard(&wire.Hello{Instance: "one", Hall: "h", Boot: c.boot, PeerAddr: "x", RacksSeq: 1, Racks: c.racks}, clock.Now())
			NewWithT(t).Expect(k.givenUp(c.rack, "one@b")).To(Equal(c.want))
		})
	}
}

func TestARackIsNotGivenUpByASilentOwner(t *testing.T) {
	k := &Keeper{Hall: "h", Peers: NewPeers("two", "h", nil), Racks: ownedRacks{owned: map[string]lease.Epoch{"r": {Table: 1, Local: 1}}}}
	NewWithT(t).Expect(k.givenUp("r", "one@b")).To(BeFalse())
}
