// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// loseSilently has the workers of some runs fall silent together until their leases are over.
func (r *rig) loseSilently(starts ...Start) {
	r.now = r.now.Add(10 * time.Millisecond)
	for _, s := range starts {
		r.Unsure(s.Worker, r.now)
	}
	r.now = r.now.Add(6 * time.Second)
	for _, s := range starts {
		r.Forget(s.Worker, LossSilent, r.now)
	}
}

// Soak seed 43: a third start after the third crash, two of them under an owner that could not write.
func TestTwoLossesUnderAnOwnerThatCannotWriteCountForTheNextOne(t *testing.T) {
	g := NewWithT(t)
	spec := &flow.Spec{ID: "j", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}
	former := newRig(3)
	former.Submit(spec, former.now, former.now)
	former.Keep("j")
	former.add("other", flow.Step{Count: 1, Demand: demand(4000)})
	first := former.place().Starts
	g.Expect(first).To(HaveLen(2))
	for _, s := range first {
		former.Started(s.Worker, s.Task, s.Run, Accepted, former.now)
	}
	rec := former.jobs["j"].record()
	former.loseSilently(first...)
	crashed := 1
	// Nothing is kept from here on.
	again := former.Place(former.now, former.now, 0).Starts
	g.Expect(again).To(HaveLen(1), "one loss among several is no reason to wait for the store")
	crashed++

	next := newRig(9)
	next.now = former.now
	next.Heard(Worker{ID: "old", Hall: "h", Gone: true}, next.now)
	next.Restore(spec, rec, next.now, next.now)
	next.Forget("old", LossReborn, next.now)
	after := 0
	for range 9 {
		next.now = next.now.Add(time.Second)
		starts := next.startAll()
		if len(starts) == 0 {
			break
		}
		if crashed >= 3 {
			after++
		}
		next.loseSilently(starts...)
		crashed++
	}
	g.Expect(state(&crashSim{rig: next}, "j")).To(Equal(flow.Failed))
	g.Expect(after).To(BeNumerically("<=", startsMost))
}
