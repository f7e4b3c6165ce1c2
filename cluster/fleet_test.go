// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/driver"
	"dewpass.org/wire"
)

// What all instances read grows with the square of their number unless each reads it the
// seldomer the more there are: 147 read 0.6 MB/s of their own list and 0.2 MB/s of a
// configuration that had not changed, 40% of all that was read of the store.
var _ = Describe("what every instance of a large fleet reads", func() {
	It("is the list of instances, the seldomer the longer it is", func() {
		Expect(membersPause(1)).To(Equal(membersSoon))
		Expect(membersPause(2)).To(Equal(membersEvery))
		Expect(membersPause(membersFew)).To(Equal(membersEvery))
		Expect(membersPause(4 * membersFew)).To(Equal(4 * membersEvery))
		Expect(membersPause(10_000)).To(Equal(membersMost))
	})

	It("is the whole configuration, in turn with the others of its hall", func() {
		n := testInstance(nil)
		now := time.Now()
		Expect(auditors(n.members.inHall(now))).To(Equal(1))
		for i := range 3 * auditTeam {
			name := fmt.Sprintf("i%d", i)
			n.members.heard(&wire.Greeting{Instance: name, Hall: "h", Boot: "b", Addr: name}, now)
			n.members.heard(&wire.Greeting{Instance: "far" + name, Hall: "other", Boot: "b", Addr: "far" + name}, now)
		}
		Expect(auditors(n.members.inHall(now))).To(Equal(3))
		Expect(auditors(n.members.inHall(now.Add(2*silence)))).To(Equal(1), "an instance that hears nobody reads by itself")
	})
})

var _ = Describe("the division into cells", func() {
	It("does not count entries that name no worker", func() {
		all := []driver.Entry{{}, {Bad: "state"}, {Worker: cell.Worker{Gone: true}}, {}}
		Expect(usable(all)).To(Equal(2))
	})
})
