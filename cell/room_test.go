// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

func TestWorkerWhoseRoomShrinksIsGivenNoMoreThanItHas(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.add("j", flow.Step{Count: 10, Demand: demand(1000)})
	starts := r.startAll()
	g.Expect(starts).To(HaveLen(4))
	r.heard("w0", func(w *Worker) { w.Room = vec(2000, 8000) })
	g.Expect(r.startAll()).To(BeEmpty())
	r.end(starts[0], flow.EndDone)
	r.end(starts[1], flow.EndDone)
	g.Expect(r.startAll()).To(BeEmpty(), "the remaining runs fill the worker")
	r.end(starts[2], flow.EndDone)
	g.Expect(r.startAll()).To(HaveLen(1))
	r.heard("w0", func(w *Worker) { w.Room = vec(4000, 8000) })
	g.Expect(r.startAll()).To(HaveLen(2), "room that has come back is used")
}

func TestFillerTaskIsNotPlacedOnAnOverfullWorker(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.add("j", flow.Step{Count: 4, Demand: demand(1000)})
	r.startAll()
	r.heard("w0", func(w *Worker) { w.Room = vec(2000, 8000) })
	r.add("k", flow.Step{Count: 1, Demand: demand(1000), IdleCPUOnly: true})
	g.Expect(r.startAll()).To(BeEmpty())
}

func TestReservationMovesAwayFromAWorkerThatShrinks(t *testing.T) {
	g := NewWithT(t)
	r := newRig(2)
	r.add("small", flow.Step{Count: 8, Demand: demand(1000), EstimateMS: 1000})
	starts := r.startAll()
	g.Expect(starts).To(HaveLen(8))
	r.add("large", flow.Step{Count: 1, Demand: demand(3000), EstimateMS: 1000})
	g.Expect(r.startAll()).To(BeEmpty())
	for w := range r.jobs["large"].stages[0].reservation.workers {
		r.heard(w.ID, func(w *Worker) { w.Room = vec(1000, 8000) })
	}
	r.now = r.now.Add(reserveInterval)
	for _, s := range starts {
		r.end(s, flow.EndDone)
	}
	g.Expect(r.startAll()).To(HaveLen(1))
}

// Guards against a busy loop with a worker that refuses for want of room before its entry says so:
// it was attached and given the same run again at once, some hundred times a second.
func TestWorkerThatRefusesForWantOfRoomIsPaused(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	refused := 0
	for range 100 {
		for _, s := range r.place().Starts {
			refused++
			r.Started(s.Worker, s.Task, s.Run, NoRoom, r.now)
		}
		r.now = r.now.Add(20 * time.Millisecond)
		r.Attached("w0", Lists{}, r.now)
	}
	g.Expect(refused).To(BeNumerically("<=", 5), "within two seconds, in which its entry is read at least once")
}
