// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"dewpass.org/flow"
)

// unaskedMost is for how long a step may wait for its first question while workers have room.
const unaskedMost = 3 * time.Second

var _ = Describe("a step that comes last in the order", func() {
	It("is asked about in time, though those before it ask without end", func() {
		const callers, steps = 34, 80
		r := newRig(0)
		advice := &Advice{Decide: 150 * time.Millisecond, Each: 2 * time.Millisecond, Valid: 100 * time.Millisecond}
		r.Configure([]Queue{
			{Name: "busy", Pool: "full", Advice: advice},
			{Name: "late", Pool: "free", Priority: 1, Advice: advice},
		})
		for _, pool := range []string{"full", "free"} {
			r.heard(pool, func(w *Worker) { w.Pool = pool })
			r.Attached(pool, Lists{}, r.now)
		}
		submit := func(id, queue string) {
			r.Submit(&flow.Spec{ID: id, Queue: queue, Steps: []flow.Step{{Count: 1, Demand: demand(1000)}}}, r.now, r.now)
			r.Keep(id)
		}
		for i := range steps {
			submit(fmt.Sprintf("b%02d", i), "busy")
		}
		submit("last", "late")
		type question struct {
			Ask
			answered time.Time
		}
		var under []question
		for end := r.now.Add(unaskedMost); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
			var rest []question
			for _, q := range under {
				if r.now.Before(q.answered) {
					rest = append(rest, q)
					continue
				}
				// A ticket is over by the time that it comes.
				r.Advised(q.Ask, []Ticket{{Worker: q.Workers[0], Text: "t"}}, advice.Valid, q.answered.Add(-q.Takes()))
			}
			under = rest
			for _, a := range r.Place(r.now, r.now, callers).Asks {
				if a.Step.Job == "last" {
					return
				}
				under = append(under, question{a, r.now.Add(a.Takes())})
			}
		}
		Fail("it was not asked about")
	})
})
