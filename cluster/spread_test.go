// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

// hallsFleet returns instances of several halls, of which each knows all others as tell says.
func hallsFleet(halls, perHall, cells int, tell func(n *Instance, name, hall string)) []*Instance {
	var out []*Instance
	for at := range halls * perHall {
		n := testInstance(&fakePolicy{})
		n.settings.Cluster.Processor = 0.8
		hall := func(i int) string { return fmt.Sprint("hall", i%halls) }
		n.settings.Instance, n.settings.Hall = fmt.Sprint("i", at), hall(at)
		n.members.self, n.members.hall = n.settings.Instance, n.settings.Hall
		n.division.set(cells)
		for i := range halls * perHall {
			if i != at {
				tell(n, fmt.Sprint("i", i), hall(i))
			}
		}
		out = append(out, n)
	}
	return out
}

// tellListed records an instance as the store's list does.
func tellListed(n *Instance, name, hall string) {
	n.members.addListed([]memberRow{{Addr: name, Hall: hall, Processor: 800, name: name}}, time.Now())
}

// tellHeard records an instance that was heard.
func tellHeard(n *Instance, name, hall string) {
	n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: hall, Boot: name, Addr: name, Processor: 800, StoreOk: true}, time.Now())
}

// Guards against owners that are all in one hall. The instances of one hall learned of the division first
// and took 10 of 15 cells; when that hall was cut off the jobs of ten cells changed owners, and those with
// tasks in that hall waited for more than 5 s.
var _ = Describe("the owners of a fleet", func() {
	DescribeTable("are spread over the halls", func(tell func(*Instance, string, string)) {
		const halls = 5
		for _, cells := range []int{5, 10, 20} {
			fleet := hallsFleet(halls, 4, cells, tell)
			owners := make(map[string]int)
			now := time.Now()
			for _, name := range fleet[0].division.cells() {
				first, otherHall := time.Hour, time.Hour
				for _, n := range fleet {
					if n.cellHall(name) == n.settings.Hall {
						first = min(first, n.electionDelay(name, now))
					} else {
						otherHall = min(otherHall, n.electionDelay(name, now))
					}
				}
				Expect(first).To(BeZero(), "%s of %d", name, cells)
				Expect(otherHall).To(BeNumerically(">=", otherHallDelay), "%s of %d", name, cells)
				owners[fleet[0].cellHall(name)]++
			}
			Expect(owners).To(HaveLen(halls))
			Expect(owners).To(HaveEach(cells / halls))
		}
	},
		Entry("once instances have heard each other", tellHeard),
		Entry("when they have just started, and know the store's list alone", tellListed),
		Entry("when they have heard the weak ones of a hall, and know the others from the list", func(n *Instance, name, hall string) {
			tellListed(n, name, hall)
			n.members.applyGreeting(&wire.Greeting{Instance: "weak" + name, Hall: hall, Boot: "w", Addr: "weak" + name, Processor: 100, StoreOk: true}, time.Now())
		}),
		Entry("when they have not heard other halls for a while, as few greet each other there", func(n *Instance, name, hall string) {
			tellListed(n, name, hall)
			n.members.applyGreeting(&wire.Greeting{Instance: "weak" + name, Hall: hall, Boot: "w", Addr: "weak" + name, Processor: 100, StoreOk: true}, time.Now().Add(-2*otherHallTimeout))
		}),
	)

	It("are not left to a hall that has no instance for them, or is cut off", func() {
		n := hallsFleet(2, 3, 2, tellHeard)[0]
		now := time.Now()
		other := n.division.cells()[1]
		Expect(n.cellHall(other)).To(Equal("hall1"))
		Expect(n.leftToHall("hall1", now)).To(BeTrue())
		Expect(n.leftToHall("hall0", now)).To(BeFalse(), "its own")
		n.settings.Cluster.Processor = 1.6
		Expect(n.leftToHall("hall1", now)).To(BeFalse(), "its instances are much weaker")
		n.settings.Cluster.Processor = 0.8
		owner := &wire.Greeting{Instance: "i1", Hall: "hall1", Boot: "i1", Addr: "i1", Processor: 800, StoreOk: true, Cells: []*wire.CellSummary{{Name: other}}}
		n.members.applyGreeting(owner, now.Add(-ownerTimeout))
		Expect(n.leftToHall("hall1", now)).To(BeFalse(), "its owner is not heard any more")
		owner.Instance, owner.Addr = "i3", "i3"
		n.members.applyGreeting(owner, now)
		Expect(n.leftToHall("hall1", now)).To(BeTrue(), "another owner there is")
		Expect(n.leftToHall("hall1", now.Add(otherHallTimeout))).To(BeFalse(), "nobody there is heard")

		n = hallsFleet(2, 3, 2, tellHeard)[0]
		Expect(n.leftToHall("hall1", now)).To(BeTrue())
		for _, name := range []string{"i1", "i3", "i5"} {
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: "hall1", Boot: name, Addr: name, Processor: 800}, now)
		}
		Expect(n.leftToHall("hall1", now)).To(BeFalse(), "the store turns all away that are heard")
	})

	It("are left to halls for longer while others may not know yet that the division is decided", func(ctx context.Context) {
		n := hallsFleet(2, 3, 2, tellHeard)[0]
		other := n.division.cells()[1]
		Expect(n.electionDelay(other, time.Now())).To(BeNumerically("<", otherHallDelay+countWaitInterval))
		store := newFleetStore()
		n.storeClient.Direct = store
		write := func(row divisionRow) {
			_, err := store.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: divisionKey, Value: flow.Encode(row)}}})
			Expect(err).NotTo(HaveOccurred())
		}
		write(divisionRow{Cells: 2})
		Expect(n.learnDivision(ctx)).To(BeTrue())
		Expect(n.hallDelay("hall1", time.Now())).To(Equal(otherHallDelay), "it was decided long ago")
		write(divisionRow{CountedBy: "i1"})
		go func() {
			time.Sleep(countInterval / 2)
			write(divisionRow{Cells: 2})
		}()
		Expect(n.learnDivision(ctx)).To(BeTrue())
		now := time.Now()
		Expect(n.hallDelay("hall1", now)).To(Equal(otherHallDelay + countWaitInterval))
		Expect(n.hallDelay("hall0", now)).To(BeZero())
		Expect(n.hallDelay("hall1", now.Add(2*countWaitInterval))).To(Equal(otherHallDelay))
	})

	It("are chosen as before if there is one cell, or one hall", func() {
		Expect(hallsFleet(2, 2, 1, tellHeard)[0].cellHall("cell-0")).To(BeEmpty())
		Expect(hallsFleet(1, 2, 3, tellHeard)[0].cellHall("cell-0")).To(BeEmpty())
		Expect(hallsFleet(2, 2, 3, tellHeard)[0].cellHall(divisionRowName)).To(BeEmpty())
	})
})
