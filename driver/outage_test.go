// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/outage"
	"dewpass.org/sched"
)

// cutWorkers are workers in two halls, of which one is cut off: the connections to the first few
// workers are reset, and polls of the others, which are not due yet, stay unanswered.
type cutWorkers struct {
	unreachable
	mu      sync.Mutex
	isCut   bool
	started []string
}

const (
	hallThatIsCut = "far"
	// nearPollWait is after how long the workers of the other hall answer a poll, as those do whose
	// tasks end. Without them nobody can tell that the hall is cut off and not the owner.
	nearPollWait = 100 * time.Millisecond
)

// All implements Directory.
func (w *cutWorkers) All(context.Context) ([]Entry, error) {
	var all []Entry
	for _, id := range strings.Split("abcdefghij", "") {
		for _, hall := range []string{"near", hallThatIsCut} {
			room := sched.Vec{sched.MilliCPU: 10_000, sched.MemoryMiB: 10_000}
			all = append(all, Entry{Worker: cell.Worker{ID: hall + id, Addr: hall + id, Pool: "p", Hall: hall, Room: room}, Ver: 1})
		}
	}
	return all, nil
}

func (w *cutWorkers) cut(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isCut && strings.HasPrefix(id, hallThatIsCut)
}

// Hold implements Workers.
func (w *cutWorkers) Hold(ctx context.Context, o HoldOrder) (HoldAnswer, error) {
	first := slices.Index(strings.Split("abcdefghij", ""), o.Worker[len(o.Worker)-1:]) < outage.MinFailedWorkers
	wait := o.Wait
	if !strings.HasPrefix(o.Worker, hallThatIsCut) {
		wait = min(wait, nearPollWait)
	}
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if first && w.cut(o.Worker) {
			return HoldAnswer{}, kind.New(kind.Lost, "connection reset")
		}
	}
	if w.cut(o.Worker) {
		<-ctx.Done()
		return HoldAnswer{}, kind.New(kind.Lost, "no answer")
	}
	return HoldAnswer{ClockMS: time.Now().UnixMilli()}, ctx.Err()
}

// Start implements Workers.
func (w *cutWorkers) Start(_ context.Context, o StartOrder) (StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = append(w.started, o.Worker)
	return StartAnswer{ClockMS: time.Now().UnixMilli(), Outcome: cell.Accepted}, nil
}

// Guards against tasks that are started in a hall that is cut off, on workers whose next poll is not
// due yet: they can run nowhere else before the leases there are over.
var _ = ginkgo.Describe("a hall of which some workers are found to be cut off", func() {
	ginkgo.It("gets no task on any other worker", func(ctx context.Context) {
		w := &cutWorkers{}
		d := newDriver(ctx, newMemStore(), func() {})
		d.Workers, d.Directory = w, w
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		defer d.Close()
		attached := func() int { return d.Load().Attached }
		Eventually(attached, "3s").Should(Equal(20))
		Expect(d.Load().Halls).To(HaveKeyWithValue(hallThatIsCut, BeNumerically(">", 0)))
		w.mu.Lock()
		w.isCut = true
		w.mu.Unlock()
		Eventually(func() int64 { return d.Load().Halls[hallThatIsCut] }, "2s", "5ms").Should(BeZero())
		Expect(attached()).To(BeNumerically(">", 10), "most of its workers were not found out yet")
		spec := &flow.Spec{ID: "0", Cell: "c", Queue: "q", Hall: hallThatIsCut, AcceptedMS: time.Now().UnixMilli(),
			Steps: []flow.Step{{Count: 20, EstimateMS: 60_000, Demand: sched.Vec{sched.MilliCPU: 1000, sched.MemoryMiB: 1}}}}
		Expect(d.Adopt(spec, 1<<40)).To(Succeed())
		Eventually(func() int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(w.started)
		}, "2s").Should(Equal(20))
		Expect(w.started).To(HaveEach(HavePrefix("near")))
	})
})
