// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

// cellsPeer is a peer that owns several cells, and notes what it is told and asked in each.
type cellsPeer struct {
	mu sync.Mutex
	// states are what it answers of a job, by cell.
	states   map[string]flow.State
	told     []string
	canceled []string
	// refuses is a cell in which it cancels nothing.
	refuses string
}

func (p *cellsPeer) Handle(_ context.Context, req *wire.Request) *wire.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := req.GetSubmitJob(); s != nil {
		p.told = append(p.told, s.Cell)
		p.states[s.Cell] = flow.Pending
		return &wire.Reply{Body: &wire.Reply_JobState{JobState: &wire.JobState{}}}
	}
	ask := req.GetAskJob()
	state, known := p.states[ask.GetCell()]
	if !known {
		return &wire.Reply{Error: wire.ToError(kind.New(kind.NotFound, "no such job"))}
	}
	if ask.GetCancel() {
		if ask.Cell == p.refuses {
			return &wire.Reply{Error: wire.ToError(kind.New(kind.Unavailable, "not now"))}
		}
		p.canceled = append(p.canceled, ask.Cell)
		p.states[ask.Cell] = flow.Canceled
	}
	return &wire.Reply{Body: &wire.Reply_JobState{JobState: &wire.JobState{State: string(state)}}}
}

func (p *cellsPeer) toldOf() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.told...)
}

var _ = Describe("a wide job of tasks that last", func() {
	wide := func() *flow.Spec {
		return &flow.Spec{ID: "j", Queue: "q", Cell: "cell-0", Shares: []string{"cell-1"}, Steps: []flow.Step{{Count: 100, Lasting: true, PerWorker: 1}}}
	}
	// deployment returns an instance that has heard a peer that owns two cells.
	deployment := func(p *cellsPeer, store table) *Instance {
		n := instanceWithOwner(p)
		n.division.set(2)
		for _, m := range n.members.list(time.Now(), func(*member) bool { return true }) {
			n.members.heard(&wire.Greeting{Instance: m.name, Hall: "h", Boot: "b", Addr: m.addr, Cells: []*wire.CellSummary{
				{Name: "cell-0", Ready: true}, {Name: "cell-1", Ready: true},
			}}, time.Now())
		}
		n.storeClient.Direct = store
		return n
	}

	It("is shared among cells if one of them may have too few workers for it", func() {
		var d division
		d.set(3)
		d.perCell.Store(366)
		step := flow.Step{Count: 92, Lasting: true, PerWorker: 1}
		Expect(d.shares(&flow.Spec{Steps: []flow.Step{step}}, "cell-1")).To(Equal([]string{"cell-0", "cell-2"}))
		for _, narrow := range []flow.Step{
			{Count: 91, Lasting: true, PerWorker: 1}, {Count: 92, Lasting: true}, {Count: 92, PerWorker: 1},
			{Count: 92, Lasting: true, PerWorker: 1, MayMiss: 2}, {Count: 92, Lasting: true, PerWorker: 2}, {Count: 92, Lasting: true, PerWorker: 1, Gang: true},
		} {
			Expect(d.shares(&flow.Spec{Steps: []flow.Step{narrow}}, "cell-1")).To(BeEmpty())
		}
		d.set(1)
		Expect(d.shares(&flow.Spec{Steps: []flow.Step{step}}, "cell-0")).To(BeEmpty(), "there is no other")
	})

	It("is told to the owner of each of its cells", func() {
		p := &cellsPeer{states: make(map[string]flow.State)}
		n := deployment(p, table{})
		spec := wide()
		n.announce(kept{cells: spec.Cells(), ver: 1, written: true}, spec)
		Expect(p.toldOf()).To(ConsistOf("cell-0", "cell-1"))
	})

	It("is cancelled in each of its cells, its own first, those that were not told of it as well", func(ctx context.Context) {
		p := &cellsPeer{states: map[string]flow.State{"cell-0": flow.Running}}
		spec := wide()
		n := deployment(p, table{driver.HomeKey("j"): driver.HomeValue(spec), driver.SpecKey("j"): flow.Encode(spec)})
		Expect(n.Cancel(ctx, "j")).To(Succeed())
		Expect(p.canceled).To(Equal([]string{"cell-0", "cell-1"}))
		Expect(p.toldOf()).To(Equal([]string{"cell-1"}))
	})

	It("is not said to be cancelled while one of its cells is not", func() {
		p := &cellsPeer{states: map[string]flow.State{"cell-0": flow.Running, "cell-1": flow.Running}, refuses: "cell-1"}
		spec := wide()
		n := deployment(p, table{driver.HomeKey("j"): driver.HomeValue(spec), driver.SpecKey("j"): flow.Encode(spec)})
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		Expect(n.Cancel(ctx, "j")).NotTo(Succeed())
	})

	It("is cancelled once more after its end, with cells that know nothing of it any more", func(ctx context.Context) {
		p := &cellsPeer{states: map[string]flow.State{"cell-0": flow.Canceled}}
		n := deployment(p, table{driver.HomeKey("j"): driver.HomeValue(wide())})
		Expect(n.Cancel(ctx, "j")).To(Succeed())
	})

	It("runs if any of its cells runs a task of it", func(ctx context.Context) {
		p := &cellsPeer{states: map[string]flow.State{"cell-0": flow.Pending, "cell-1": flow.Running}}
		n := deployment(p, table{driver.HomeKey("j"): driver.HomeValue(wide())})
		n.homes.set("j", wide().Cells())
		Expect(n.State(ctx, "j")).To(Equal(flow.Running))
		p.states["cell-1"] = flow.Pending
		Expect(n.State(ctx, "j")).To(Equal(flow.Pending))
	})
})
