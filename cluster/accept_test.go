// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/driver"
	"dewpass.org/flow"
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
		n := testInstance(&policy{})
		g := &wire.Greeting{Instance: "owner", Hall: "other", Boot: "b", Addr: "o", Cells: []*wire.CellSummary{
			{Name: "c", Halls: []*wire.HallRoom{{Name: "a", Free: 1}}},
		}}
		n.members.heard(g, time.Now())
		Expect(n.hallFor("c", "x")).To(Equal("a"))
		n.members.heard(g, time.Now().Add(-hallSilence))
		Expect(n.hallFor("c", "x")).To(Equal("h"), "the owner's halls may be cut off")
	})
})

// listener is the owner of a cell and keeps what it is told of.
type listener struct{ told chan *flow.Spec }

func (l listener) Handle(_ context.Context, req *wire.Request) *wire.Reply {
	spec, err := flow.DecodeSpec(req.GetSubmitJob().GetSpec())
	if err == nil {
		l.told <- spec
	}
	return &wire.Reply{}
}

// taken is a store that has every job already.
type taken struct {
	table
	home rows.Key
}

func (t taken) Tx(context.Context, rows.Tx) (rows.Result, error) {
	return rows.Result{Refused: true, Rows: []rows.Row{{Key: t.home, Value: []byte("cell-0"), Ver: 5}}}, nil
}

var _ = Describe("a job that is there already", func() {
	It("is told of as the store has it, not as it was handed in again", func(ctx context.Context) {
		told := make(chan *flow.Spec, 1)
		n := instanceWithOwner(listener{told})
		stored := &flow.Spec{ID: "j", Hall: "first", Steps: []flow.Step{{Count: 1}}}
		n.storeClient.Direct = taken{table{driver.SpecKey("j"): flow.Encode(stored)}, driver.HomeKey("j")}
		_, err := n.storeClient.Get(ctx, rows.Range{})
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Submit(ctx, &flow.Spec{ID: "j", Steps: []flow.Step{{Count: 1}}})).To(Succeed())
		var spec *flow.Spec
		Eventually(told).Should(Receive(&spec))
		Expect(spec.Hall).To(Equal("first"))
	})

	It("is told of with the cell that has it and the version at which it was taken", func() {
		home := driver.HomeKey("j")
		res := rows.Result{Refused: true, Rows: []rows.Row{{Key: home, Value: []byte("its"), Ver: 5}}}
		Expect(keptBy(res, home, kept{cells: []string{"drawn"}})).To(Equal(kept{cells: []string{"its"}, ver: 5}))
	})
})
