// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/rows"
)

// Guards against treating a corrupt lease as free: the next owner began at epoch 1, below the
// fences that workers had already seen, and the former owner went on.
func TestUnreadableLeaseIsHeldByAnotherOwner(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	for _, value := range []string{"", "{", "7", `{"epoch":"x"}`, "\xff"} {
		seen := SnapshotOf(rows.Page{Rows: []rows.Row{{Value: []byte(value), Ver: 41}}}, now)
		g.Expect(seen.Owner).NotTo(BeEmpty(), value)
		g.Expect(seen.Epoch).To(Equal(uint64(41)), "no epoch is above the versions of its writes")
		g.Expect(seen.Expiry()).To(Equal(DefaultExpiry))
	}
	seen := SnapshotOf(rows.Page{BadRows: []rows.BadRow{{Ver: 41, Reason: "value"}}}, now)
	g.Expect(seen.Ver).To(Equal(uint64(41)))
	g.Expect(seen.Owner).NotTo(BeEmpty())
	g.Expect(SnapshotOf(rows.Page{}, now).Owner).To(BeEmpty(), "a lease that was never written is free")
}
