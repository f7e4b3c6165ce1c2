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

// What all instances read together grows with the square of their number, unless each reads less
// often the more there are. 147 instances read 0.6 MB/s of the list of instances and 0.2 MB/s of an
// unchanged configuration, 40% of all reads of the store.
var _ = Describe("what every instance of a large fleet reads", func() {
	It("is the list of instances, less often the longer it is", func() {
		Expect(membersReadPause(1)).To(Equal(membersRetryPause))
		Expect(membersReadPause(2)).To(Equal(membersReadInterval))
		Expect(membersReadPause(smallFleet)).To(Equal(membersReadInterval))
		Expect(membersReadPause(4 * smallFleet)).To(Equal(4 * membersReadInterval))
		Expect(membersReadPause(10_000)).To(Equal(maxMembersReadInterval))
	})

	It("is the whole configuration, taking turns with the others of its hall", func() {
		n := testInstance(nil)
		now := time.Now()
		Expect(fullReadDivisor(n.members.liveInHall(now))).To(Equal(1))
		for i := range 3 * fullReadRedundancy {
			name := fmt.Sprintf("i%d", i)
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: "h", Boot: "b", Addr: name}, now)
			n.members.applyGreeting(&wire.Greeting{Instance: "far" + name, Hall: "other", Boot: "b", Addr: "far" + name}, now)
		}
		Expect(fullReadDivisor(n.members.liveInHall(now))).To(Equal(3))
		Expect(fullReadDivisor(n.members.liveInHall(now.Add(2*sameHallTimeout)))).To(Equal(1), "an instance that hears nobody reads on its own")
	})
})

var _ = Describe("the division into cells", func() {
	It("does not count entries without a usable worker", func() {
		all := []driver.Entry{{}, {Invalid: "state"}, {Worker: cell.Worker{Gone: true}}, {}}
		Expect(countUsable(all)).To(Equal(2))
	})
})
