// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

var _ = Describe("filler tasks", func() {
	It("are slowed down fast while a serving task beside them is over its target, and sped up slowly", func() {
		r := newRig(1)
		r.add("serves", flow.Step{Count: 1, Demand: demand(1000), LongRunning: true, TargetMS: 100})
		r.add("fills", flow.Step{Count: 1, Demand: demand(8000), IdleCPUOnly: true, EstimateMS: 60_000})
		starts := r.startAll()
		Expect(starts).To(HaveLen(2))
		list := func(tail int64, after time.Duration) []Pace {
			r.now = r.now.Add(after)
			var rows []Running
			for _, s := range starts {
				rows = append(rows, Running{Task: s.Task, Run: s.Run, Percent: 100, Tail: tail})
			}
			r.Listed("w0", Lists{Running: rows}, r.now, r.now)
			return r.Place(r.now, r.now, 0).Paces
		}
		Expect(list(50, time.Second)).To(BeEmpty())
		Expect(list(120, time.Second)).To(HaveLen(1))
		down := list(120, time.Second)
		Expect(down).To(HaveLen(1))
		Expect(down[0].Percent).To(Equal(0), "well within harm_ms")
		Expect(down[0].Task.Job).To(Equal("fills"))
		Expect(list(50, time.Second)).To(BeEmpty())
		up := list(50, 2*time.Second)
		Expect(up).To(HaveLen(1))
		Expect(up[0].Percent).To(Equal(speedUpStep))
	})
})
