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

// What happened: an owner whose link carries 2 Mbit/s decided all 130 starts of a wide step of
// batch at once. They waited at its link for 0.8 s, each was taken for lost after 0.1 to 0.3 s,
// and the calls that somebody waits for queued behind them: of those, 60 of 128 ended as
// failed and 58 late on a day without any fault.

// narrow is a cell with more room than work, whose owner sends so many bytes between two
// decisions that are step apart. It returns when the starts of each queue were decided.
func narrow(bytes int, step time.Duration, shared bool) map[string][]time.Duration {
	c := New(0)
	c.Configure([]Queue{{Name: "calls", Pool: "p", Priority: 0}, {Name: "batch", Pool: "p", Priority: 2}})
	now := time.Unix(1000, 0)
	room := sched.Vec{sched.Milli: 1 << 40, sched.MiB: 1 << 40, sched.Slots: plenty, sched.Conns: plenty}
	for i := range 20 {
		id := fmt.Sprintf("w%02d", i)
		c.Heard(Worker{ID: id, Pool: "p", Hall: "h", Room: room}, now)
		c.Attached(id, Lists{}, now)
	}
	submit := func(id, queue string, tasks int) {
		spec := &flow.Spec{ID: id, Queue: queue, Cell: "c", Hall: "h", Text: strings.Repeat("x", 700),
			Steps: []flow.Step{{Count: tasks, Demand: sched.Vec{sched.Milli: 100, sched.MiB: 100}, EstimateMS: 1000}}}
		c.Submit(spec, now, now)
		c.Keep(id)
	}
	submit("batch", "batch", 130)
	decided := make(map[string][]time.Duration)
	for at := time.Duration(0); at < 3*time.Second; at += step {
		if at >= 20*step && at < 21*step {
			submit("call", "calls", 8)
		}
		c.SendMost(bytes, shared)
		a := c.Place(now.Add(at), now.Add(at), 0)
		for _, s := range a.Starts {
			decided[s.Task.Job] = append(decided[s.Task.Job], at)
		}
	}
	return decided
}

var _ = Describe("starts on a link that carries little", func() {
	const (
		// A link of 2 Mbit/s of which starts may have 8 KB each 50 ms.
		each  = 8 << 10
		every = 50 * time.Millisecond
	)

	It("are decided as they can be sent, the most urgent first", func() {
		got := narrow(each, every, false)
		Expect(got["call"]).To(HaveLen(8))
		Expect(got["call"]).To(HaveEach(BeNumerically("<=", 21*every)), "a call does not queue behind batch")
		Expect(got["batch"]).To(HaveLen(130))
		Expect(got["batch"][9]).To(BeNumerically(">", got["batch"][0]), "not all at once")
	})

	It("are all decided at once where nothing limits them, which is the baseline", func() {
		got := narrow(1<<30, every, false)
		Expect(got["batch"]).To(HaveLen(130))
		Expect(got["batch"]).To(HaveEach(BeZero()))
	})

	It("are more where they share their text", func() {
		alone, shared := narrow(each, every, false), narrow(each, every, true)
		Expect(shared["batch"][129]).To(BeNumerically("<", alone["batch"][129]/3))
	})

	It("say that some were held back, and only then", func() {
		c := New(0)
		c.Configure([]Queue{{Name: "q", Pool: "p"}})
		now := time.Unix(1000, 0)
		c.Place(now, now, 0)
		Expect(c.HeldBack()).To(BeFalse())
		c.SendMost(0, false)
		c.Place(now, now, 0)
		Expect(c.HeldBack()).To(BeFalse(), "nothing waits")
		c.Submit(&flow.Spec{ID: "j", Queue: "q", Cell: "c", Steps: []flow.Step{{Count: 1}}}, now, now)
		c.Keep("j")
		c.Place(now, now, 0)
		Expect(c.HeldBack()).To(BeTrue())
	})
})

var _ = Describe("a look at a worker", func() {
	now := time.Unix(1000, 0)
	look := func(steps ...flow.Step) time.Duration {
		c := New(0)
		c.Configure([]Queue{{Name: "q", Pool: "p"}})
		c.Heard(Worker{ID: "w", Pool: "p", Hall: "h", Room: sched.Vec{sched.Milli: 1 << 30, sched.MiB: 1 << 30}}, now)
		c.Attached("w", Lists{}, now)
		c.Submit(&flow.Spec{ID: "j", Queue: "q", Cell: "c", Hall: "h", Steps: steps}, now, now)
		c.Keep("j")
		c.Place(now, now, 0)
		return c.LookWithin("w")
	}
	long := flow.Step{Count: 1, EstimateMS: 60_000}

	It("comes seldom where nothing has to be watched", func() {
		Expect(look()).To(Equal(maxPollInterval))
		Expect(look(long)).To(Equal(maxPollInterval))
	})

	It("comes often where a short run may stand still", func() {
		Expect(look(long, flow.Step{Count: 1, EstimateMS: 1000})).To(Equal(minPollInterval))
	})

	It("comes often where runs that fill are beside one that serves", func() {
		serves := flow.Step{Count: 1, Lasting: true, TargetMS: 100}
		Expect(look(serves)).To(BeNumerically(">", minPollInterval))
		Expect(look(serves, flow.Step{Count: 1, Fills: true, EstimateMS: 60_000})).To(Equal(minPollInterval))
	})

	It("comes in between where runs save their work", func() {
		saves := long
		saves.Checkpoints = true
		Expect(look(saves)).To(Equal(checkpointPollInterval))
	})

	It("of a worker that is not known comes often", func() {
		Expect(New(0).LookWithin("w")).To(Equal(minPollInterval))
	})
})
