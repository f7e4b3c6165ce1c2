// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"testing"

	. "github.com/onsi/gomega"

	"dewpass.org/internal/clock"
	"dewpass.org/lease"
	"dewpass.org/wire"
)

// ownedRacks is a fixed set of owned racks.
type ownedRacks struct {
	Racks
	owned map[string]lease.Epoch
}

func (r ownedRacks) Owned() map[string]lease.Epoch { return r.owned }

func TestARackIsGivenUpOnlyByTheBootThatItsRowNames(t *testing.T) {
	claims := []*wire.Rack{{Rack: "r", EpochTable: 1}}
	for what, c := range map[string]struct {
		boot  string
		racks []*wire.Rack
		rack  string
		want  bool
	}{
		"it no longer claims the rack":                  {"b", nil, "r", true},
		"it still claims the rack":                      {"b", claims, "r", false},
		"another boot of it sent the hello":             {"former", nil, "r", false},
		"the rack is not owned here, only unclaimed":    {"b", nil, "other", false},
		"the rack is owned here, and it claims another": {"b", []*wire.Rack{{Rack: "x"}}, "r", true},
	} {
		t.Run(what, func(t *testing.T) {
			k := &Coordinator{
				Hall: "h", Peers: NewPeers("two", "h", nil),
				Racks: ownedRacks{owned: map[string]lease.Epoch{"r": {Table: 1, Local: 1}}},
			}
			k.Peers.HandleHello(&wire.Hello{Instance: "one", Hall: "h", Boot: c.boot, PeerAddr: "x", RacksSeq: 1, Racks: c.racks}, clock.Now())
			NewWithT(t).Expect(k.givenUp(c.rack, "one@b")).To(Equal(c.want))
		})
	}
}

func TestARackIsNotGivenUpByASilentOwner(t *testing.T) {
	k := &Coordinator{Hall: "h", Peers: NewPeers("two", "h", nil), Racks: ownedRacks{owned: map[string]lease.Epoch{"r": {Table: 1, Local: 1}}}}
	NewWithT(t).Expect(k.givenUp("r", "one@b")).To(BeFalse())
}
