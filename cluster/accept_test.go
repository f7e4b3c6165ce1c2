// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/driver"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

var _ = Describe("the hall of a job", func() {
	halls := []*wire.HallRoom{{Name: "a", Free: 1000}, {Name: "full"}, {Name: "b", Free: 3000}}

	It("is drawn by the room that is free in each", func() {
		drawn := make(map[string]int)
		for i := range 4000 {
			drawn[drawHall(halls, fmt.Sprint(i))]++
		}
		Expect(drawn).To(HaveLen(2))
		Expect(drawn["b"]).To(BeNumerically("~", 3000, 150))
		Expect(drawHall(nil, "x")).To(BeEmpty())
	})

	It("is the own one while the cell's owner is not heard", func() {
		n := testNode(&policy{})
		g := &wire.Greeting{Instance: "owner", Hall: "other", Boot: "b", Addr: "o", Cells: []*wire.CellSummary{
			{Name: "c", Halls: []*wire.HallRoom{{Name: "a", Free: 1}}},
		}}
		n.members.heard(g, time.Now())
		Expect(n.hallFor("c", "x")).To(Equal("a"))
		n.members.heard(g, time.Now().Add(-hallSilence))
		Expect(n.hallFor("c", "x")).To(Equal("h"), "the owner's halls may be cut off")
	})
})

var _ = Describe("a job that is there already", func() {
	It("is told of with the cell that has it and the version at which it was taken", func() {
		home := driver.HomeKey("j")
		res := rows.Result{Refused: true, Rows: []rows.Row{{Key: home, Value: []byte("its"), Ver: 5}}}
		Expect(keptBy(res, home, kept{cell: "drawn"})).To(Equal(kept{cell: "its", ver: 5}))
	})
})
