// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/rows"
)

// A lease that another writer has damaged was taken for one that is free: the next owner began
// at epoch 1, below the fences that workers had seen, and the former one went on.
func TestALeaseThatCannotBeReadIsThatOfSomebodyElse(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	for _, value := range []string{"", "{", "7", `{"epoch":"x"}`, "\xff"} {
		seen := SeenIn(rows.Page{Rows: []rows.Row{{Value: []byte(value), Ver: 41}}}, now)
		g.Expect(seen.Owner).NotTo(BeEmpty(), value)
		g.Expect(seen.Epoch).To(Equal(uint64(41)), "no epoch is above the versions of its writes")
		g.Expect(seen.Silence()).To(Equal(Silence))
	}
	seen := SeenIn(rows.Page{Bad: []rows.Bad{{Ver: 41, Reason: "value"}}}, now)
	g.Expect(seen.Ver).To(Equal(uint64(41)))
	g.Expect(seen.Owner).NotTo(BeEmpty())
	g.Expect(SeenIn(rows.Page{}, now).Owner).To(BeEmpty(), "a lease that was never written is free")
}
