// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Guards against overloading a narrow link. An owner whose link carries 2 Mbit/s decided all 130
// starts of a wide batch step at once. They queued at its link for 0.8 s, each was taken for lost
// after 0.1 to 0.3 s, and interactive calls queued behind them: of those, 60 of 128 failed and 58
// were late on a day without any fault.

// startTimes plays a cell with more room than work, whose owner can send so many bytes between two
// decisions that are step apart. It returns when the starts of each job were decided.
func startTimes(bytes int, step time.Duration, shared bool) map[string][]time.Duration {
	c := New(0)
	c.Configure([]Queue{{Name: "calls", Pool: "p", Priority: 0}, {Name: "batch", Pool: "p", Priority: 2}})
	now := time.Unix(1000, 0)
	room := sched.Vec{sched.MilliCPU: 1 << 40, sched.MemoryMiB: 1 << 40, sched.Slots: plenty, sched.Connections: plenty}
	for i := range 20 {
		id := fmt.Sprintf("w%02d", i)
		c.Heard(Worker{ID: id, Pool: "p", Hall: "h", Room: room}, now)
		c.Attached(id, Lists{}, now)
	}
	submit := func(id, queue string, tasks int) {
		spec := &flow.Spec{ID: id, Queue: queue, Cell: "c", Hall: "h", Text: strings.Repeat("x", 700),
			Steps: []flow.Step{{Count: tasks, Demand: sched.Vec{sched.MilliCPU: 100, sched.MemoryMiB: 100}, EstimateMS: 1000}}}
		c.Submit(spec, now, now)
		c.JobStored(id)
	}
	submit("batch", "batch", 130)
	decided := make(map[string][]time.Duration)
	for at := time.Duration(0); at < 3*time.Second; at += step {
		if at >= 20*step && at < 21*step {
			submit("call", "calls", 8)
		}
		c.SetSendBudget(bytes, shared)
		a := c.Place(now.Add(at), now.Add(at), 0)
		for _, s := range a.Starts {
			decided[s.Task.Job] = append(decided[s.Task.Job], at)
		}
	}
	return decided
}

var _ = Describe("starts on a narrow link", func() {
	const (
		// A link of 2 Mbit/s on which starts may take 8 KB every 50 ms.
		each  = 8 << 10
		every = 50 * time.Millisecond
	)

	It("are decided only as fast as they can be sent, the most urgent first", func() {
		got := startTimes(each, every, false)
		Expect(got["call"]).To(HaveLen(8))
		Expect(got["call"]).To(HaveEach(BeNumerically("<=", 21*every)), "a call does not queue behind batch jobs")
		Expect(got["batch"]).To(HaveLen(130))
		Expect(got["batch"][9]).To(BeNumerically(">", got["batch"][0]), "not all at once")
	})

	It("are all decided at once without a limit, as a baseline", func() {
		got := startTimes(1<<30, every, false)
		Expect(got["batch"]).To(HaveLen(130))
		Expect(got["batch"]).To(HaveEach(BeZero()))
	})

	It("are decided sooner if they share their text", func() {
		alone, shared := startTimes(each, every, false), startTimes(each, every, true)
		Expect(shared["batch"][129]).To(BeNumerically("<", alone["batch"][129]/3))
	})

	It("are reported as limited only if some were left out", func() {
		c := New(0)
		c.Configure([]Queue{{Name: "q", Pool: "p"}})
		now := time.Unix(1000, 0)
		c.Place(now, now, 0)
		Expect(c.SendLimited()).To(BeFalse())
		c.SetSendBudget(0, false)
		c.Place(now, now, 0)
		Expect(c.SendLimited()).To(BeFalse(), "nothing waits")
		c.Submit(&flow.Spec{ID: "j", Queue: "q", Cell: "c", Steps: []flow.Step{{Count: 1}}}, now, now)
		c.JobStored("j")
		c.Place(now, now, 0)
		Expect(c.SendLimited()).To(BeTrue())
	})
})

var _ = Describe("a poll of a worker", func() {
	now := time.Unix(1000, 0)
	pollWait := func(steps ...flow.Step) time.Duration {
		c := New(0)
		c.Configure([]Queue{{Name: "q", Pool: "p"}})
		c.Heard(Worker{ID: "w", Pool: "p", Hall: "h", Room: sched.Vec{sched.MilliCPU: 1 << 30, sched.MemoryMiB: 1 << 30}}, now)
		c.Attached("w", Lists{}, now)
		c.Submit(&flow.Spec{ID: "j", Queue: "q", Cell: "c", Hall: "h", Steps: steps}, now, now)
		c.JobStored("j")
		c.Place(now, now, 0)
		return c.MaxPollWait("w")
	}
	long := flow.Step{Count: 1, EstimateMS: 60_000}

	It("is rare where nothing has to be watched", func() {
		Expect(pollWait()).To(Equal(maxPollInterval))
		Expect(pollWait(long)).To(Equal(maxPollInterval))
	})

	It("is frequent where a short run may stall", func() {
		Expect(pollWait(long, flow.Step{Count: 1, EstimateMS: 1000})).To(Equal(minPollInterval))
	})

	It("is frequent where filler runs are beside a serving one", func() {
		serves := flow.Step{Count: 1, LongRunning: true, TargetMS: 100}
		Expect(pollWait(serves)).To(BeNumerically(">", minPollInterval))
		Expect(pollWait(serves, flow.Step{Count: 1, IdleCPUOnly: true, EstimateMS: 60_000})).To(Equal(minPollInterval))
	})

	It("is less frequent where runs save checkpoints", func() {
		saves := long
		saves.Checkpoints = true
		Expect(pollWait(saves)).To(Equal(checkpointPollInterval))
	})

	It("is frequent if the worker is not known", func() {
		Expect(New(0).MaxPollWait("w")).To(Equal(minPollInterval))
	})
})
