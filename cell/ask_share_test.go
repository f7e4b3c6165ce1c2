// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// maxUnaskedTime is how long a step may wait for its first question while workers have room.
const maxUnaskedTime = 3 * time.Second

// The number of questions allowed in flight, and of steps that compete for them.
const (
	callers = 34
	steps   = 80
	// answerSpacing is how much later each answer is than the one before.
	answerSpacing = 37 * time.Millisecond
)

// askedRig is a rig whose policy answers in time, but with tickets that have expired when the
// answer arrives.
type askedRig struct {
	*rig
	advice   *Advice
	inFlight []askedQuestion
	sent     int
	// spread is the period over which the answers to questions of the same moment arrive.
	spread time.Duration
}

type askedQuestion struct {
	Ask
	answered time.Time
}

// askedWithin plays up to a length of time, and reports whether the policy was asked about a job.
func (r *askedRig) askedWithin(most time.Duration, job string) bool {
	for end := r.now.Add(most); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		var rest []askedQuestion
		for _, q := range r.inFlight {
			if r.now.Before(q.answered) {
				rest = append(rest, q)
				continue
			}
			r.Advised(q.Ask, []Ticket{{Worker: q.Workers[0], Text: "t"}}, r.advice.Valid, q.answered.Add(-q.Takes()))
		}
		r.inFlight = rest
		for _, a := range r.Place(r.now, r.now, callers).Asks {
			if a.Step.Job == job {
				return true
			}
			r.sent++
			late := time.Duration(0)
			if r.spread > 0 {
				late = time.Duration(r.sent) * answerSpacing % r.spread
			}
			r.inFlight = append(r.inFlight, askedQuestion{a, r.now.Add(a.Takes() + late)})
		}
	}
	return false
}

var _ = Describe("a step that comes last by rank", func() {
	It("is asked about in time, though the steps before it are asked about again and again", func() {
		advice := &Advice{Decide: 150 * time.Millisecond, Each: 2 * time.Millisecond, Valid: 100 * time.Millisecond}
		r := &askedRig{rig: newRig(0), advice: advice}
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
			r.JobStored(id)
		}
		for i := range steps {
			submit(fmt.Sprintf("b%02d", i), "busy")
		}
		submit("last", "late")
		Expect(r.askedWithin(maxUnaskedTime, "last")).To(BeTrue())
	})

	It("does not delay the question about a more urgent step that has just arrived", func() {
		advice := &Advice{Decide: 500 * time.Millisecond, Each: 7 * time.Millisecond, Valid: 100 * time.Millisecond}
		r := &askedRig{rig: newRig(0), advice: advice, spread: 300 * time.Millisecond}
		r.Configure([]Queue{
			{Name: "batch", Pool: "full", Priority: 2, Advice: advice},
			{Name: "service", Pool: "free", Priority: 1, Advice: advice},
		})
		for _, pool := range []string{"full", "free"} {
			r.heard(pool, func(w *Worker) { w.Pool = pool })
			r.Attached(pool, Lists{}, r.now)
		}
		submit := func(id, queue string) {
			r.Submit(&flow.Spec{ID: id, Queue: queue, Steps: []flow.Step{{Count: 1, Demand: demand(1000), LongRunning: queue == "service"}}}, r.now, r.now)
			r.JobStored(id)
		}
		for i := range steps {
			submit(fmt.Sprintf("b%02d", i), "batch")
		}
		Expect(r.askedWithin(5*time.Second, "nobody")).To(BeFalse())
		submit("urgent", "service")
		Expect(r.askedWithin(1200*time.Millisecond, "urgent")).To(BeTrue())
	})
})
