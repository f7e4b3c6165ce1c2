// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Guards against one account whose load makes the jobs of all others late. In a full pool, an
// account that sent seven times its usual rate for 6 s had the oldest steps, and only 67 to 73% of
// the jobs of seven other accounts that are otherwise in time were.

// fairReplay returns a replay with 40 workers of 16 processors.
func fairReplay(seed uint64, sharing bool, accounts ...Account) *replay {
	r := newReplay(seed, []Queue{
		{Name: "call", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Name: "batch", Pool: "p", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second},
	}, nil)
	r.Configure(r.queues, accounts...)
	r.FairSharing = sharing
	for i := range 40 {
		r.worker(fmt.Sprintf("w%02d", i), fmt.Sprintf("h%d", i%4), "r", vec(16_000, 65_536), 1)
	}
	return r
}

// usualRates are the parts of the usual load that eight accounts send, in twentieths. The usual load
// takes nine tenths of the processors.
var usualRates = [...]float64{1, 1, 2, 2, 3, 3, 4, 4}

const (
	// hotAccount sends hotFactor times its usual rate from hotFrom to hotUntil.
	hotAccount = 5
	hotFactor  = 7
	hotFrom    = 4 * time.Second
	hotUntil   = 10 * time.Second
	usualUntil = 20 * time.Second
)

// hotLoad returns calls and batch jobs of eight accounts. Weights, if there are any, have the
// proportions of the usual rates, but are so far above them that no job is beyond its share.
func hotLoad(seed uint64, sharing, hot, weights bool) *replay {
	var accounts []Account
	for i, rate := range usualRates {
		if weights {
			accounts = append(accounts, Account{Name: fmt.Sprint(i), Weight: 100 * rate})
		}
	}
	r := fairReplay(seed, sharing, accounts...)
	for i, rate := range usualRates {
		r.send(fmt.Sprint(i), "u", 0, usualUntil, rate/20)
	}
	if hot {
		// What the others send does not depend on this, as it has been drawn before.
		r.send(fmt.Sprint(hotAccount), "h", hotFrom, hotUntil, (hotFactor-1)*usualRates[hotAccount]/20)
	}
	return r
}

// send schedules jobs of an account that are a part of the usual load.
func (r *replay) send(account, prefix string, from, until time.Duration, part float64) {
	for _, l := range []struct {
		queue string
		rate  float64
		step  flow.Step
		mean  time.Duration
	}{
		{"call", 75, flow.Step{Count: 3, Demand: sched.Vec{sched.MilliCPU: 2500, sched.MemoryMiB: 4000}}, 800 * time.Millisecond},
		{"batch", 2, flow.Step{Count: 10, Demand: sched.Vec{sched.MilliCPU: 1700, sched.MemoryMiB: 3000}}, 3400 * time.Millisecond},
	} {
		r.arrivalsAt(until-from, func(time.Duration) float64 { return l.rate * part }, func(at time.Duration, n int) {
			id := fmt.Sprintf("%s-%s-%s-%d", prefix, account, l.queue, n)
			r.job(from+at, id, l.queue, 1, l.step, l.mean)
			r.arrivals[id].spec.Account = account
		})
	}
}

// inTime returns the jobs that were in time.
func (r *replay) inTime() map[string]bool {
	out := make(map[string]bool)
	for id, j := range r.arrivals {
		if j.result == flow.Succeeded && j.ended.Sub(j.at) <= j.objective() {
			out[id] = true
		}
	}
	return out
}

// stillInTime returns which part of the jobs that are in time in the replay calm are so in r as
// well, of all accounts but the hot one together and of the one that fares worst.
func (r *replay) stillInTime(calm *replay) (all, worst float64) {
	before, now := make(map[string]float64), make(map[string]float64)
	good := r.inTime()
	for id := range calm.inTime() {
		account := r.arrivals[id].spec.Account
		if account == fmt.Sprint(hotAccount) {
			continue
		}
		for _, of := range []string{account, "all"} {
			before[of]++
			if good[id] {
				now[of]++
			}
		}
	}
	worst = 1
	for of := range before {
		worst = min(worst, now[of]/before[of])
	}
	return now["all"] / before["all"], worst
}

var _ = Describe("an account that sends many times its usual rate into a full pool", func() {
	play := func(seed uint64, sharing, hot, weights bool) *replay {
		r := hotLoad(seed, sharing, hot, weights)
		r.play(40 * time.Second)
		return r
	}
	DescribeTable("delays the jobs of the others little with fair sharing only", func(weights bool) {
		for seed := range uint64(3) {
			calm := play(seed, true, false, weights)
			unshared, _ := play(seed, false, true, weights).stillInTime(calm)
			all, worst := play(seed, true, true, weights).stillInTime(calm)
			GinkgoWriter.Printf("seed %d: still in time %.3f without, %.3f with sharing, worst account %.3f\n", seed, unshared, all, worst)
			Expect(unshared).To(BeNumerically("<", 0.8))
			Expect(all).To(BeNumerically(">=", 0.95))
			Expect(worst).To(BeNumerically(">=", 0.95))
			Expect(float64(len(calm.inTime()))).To(BeNumerically(">=", 0.99*float64(len(calm.arrivals))))
		}
	},
		Entry("with unequal weights", true),
		Entry("without weights", false),
	)
})

// Guards against a pool that one account gets as a whole whenever tasks of equal length end
// together, which repeats with every wave of them.
var _ = DescribeTable("an account that finds a pool full of tasks of another", func(sharing bool, weight, least, most float64) {
	const task = time.Second
	r := fairReplay(1, sharing, Account{Name: "first", Weight: 10_000}, Account{Name: "back", Weight: 10_000 * weight})
	send := func(account string, at time.Duration) {
		for n := range 500 {
			r.arrive(at, &flow.Spec{ID: fmt.Sprintf("%s%03d", account, n), Queue: "batch", Account: account,
				Steps: []flow.Step{{Count: 4, Demand: demand(4000), EstimateMS: task.Milliseconds()}}}, task)
		}
	}
	send("first", 0)
	send("back", 2*task+task/2)
	for played := 4*task + task/2; played <= 8*task; played += task / 4 {
		r.play(played)
		part := r.accounts["back"].used.Share(r.Load().Room)
		Expect(part).To(And(BeNumerically(">=", least), BeNumerically("<=", most)), "after %v", played)
	}
},
	Entry("gets nothing without fair sharing", false, 1.0, 0.0, 0.0),
	Entry("has half of it after two task lengths, with the same weight", true, 1.0, 0.45, 0.55),
	Entry("has three quarters of it after two task lengths, with three times the weight", true, 3.0, 0.7, 0.8),
)

var _ = DescribeTable("fair sharing changes no decision for", func(accounts ...string) {
	var ends []map[string]time.Duration
	for _, sharing := range []bool{false, true} {
		r := fairReplay(1, sharing)
		for _, name := range accounts {
			r.send(name, "u", 0, 5*time.Second, 1.5/float64(len(accounts)))
		}
		r.play(20 * time.Second)
		ended := make(map[string]time.Duration)
		for id, j := range r.arrivals {
			ended[id] = j.ended.Sub(r.began)
		}
		ends = append(ends, ended)
	}
	Expect(ends[1]).To(Equal(ends[0]))
},
	Entry("a full pool without accounts", ""),
	Entry("a full pool with one account", "a"),
)

// Guards against levels that change the order within an account, let late steps pass those that
// can be in time, count where there is room, or count steps that cannot start.
func TestShareLevelsOrderSteps(t *testing.T) {
	unchanged := []string{"held", "hot1", "hot2", "calm1", "late"}
	shared := []string{"held", "calm1", "hot1", "hot2", "late"}
	for name, c := range map[string]struct {
		sharing bool
		running int
		// why is what hot1 waited for in the last decision.
		why   WaitReason
		order []string
		level int
	}{
		"full":                               {true, 8, "", shared, 20},
		"full, without fair sharing":         {false, 8, Full, unchanged, 0},
		"an eighth free":                     {true, 7, "", unchanged, 0},
		"an eighth free, but not for a step": {true, 7, NoWorker, shared, 17},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(2)
			r.accounts(Account{Name: "hot"}, Account{Name: "calm"})
			r.FairSharing = c.sharing
			r.addFor("hot", "running", flow.Step{Count: c.running, Demand: demand(1000), EstimateMS: 60_000})
			g.Expect(r.startAll()).To(HaveLen(c.running))
			waiting := func(account, id string, count int, estimate time.Duration) *stage {
				r.addFor(account, id, flow.Step{Count: count, Demand: demand(1000), EstimateMS: estimate.Milliseconds()})
				return r.jobs[id].stages[0]
			}
			waiting("calm", "late", 1, time.Second)
			r.now = r.now.Add(4 * time.Second)
			waiting("hot", "hot2", 1, 4*time.Second)
			waiting("hot", "hot1", 1, time.Second).waitTimes.why = c.why
			waiting("calm", "calm1", 1, 8*time.Second)
			waiting("calm", "held", 40, time.Second/2).waitTimes.why = HeldUp
			r.sortOpenStages(r.now)
			r.shareFairly(r.now, r.now)
			g.Expect(r.openOrder()).To(Equal(c.order))
			g.Expect(r.jobs["hot1"].sharer.level).To(Equal(c.level))
		})
	}
}

// openOrder returns the jobs with waiting steps in their order.
func (r *rig) openOrder() []string {
	var order []string
	for _, s := range r.openStages {
		if s.waiting > 0 {
			order = append(order, s.job.spec.ID)
		}
	}
	return order
}

// Guards against jobs without an account that pass others because their pool is not full.
func TestFullPoolWithOneSharerKeepsItsPlaceAmongPools(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.Configure([]Queue{
		{Name: "q", Pool: "p", Stretch: 1.5, Target: time.Second}, {Name: "other", Pool: "other", Stretch: 1.5, Target: time.Second},
	})
	r.FairSharing = true
	r.add("running", flow.Step{Count: 4, Demand: demand(1000), EstimateMS: 60_000})
	r.startAll()
	r.add("first", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 1000})
	r.Submit(&flow.Spec{ID: "second", Queue: "other", Steps: []flow.Step{{Count: 1, Demand: demand(1000), EstimateMS: 2000}}}, r.now, r.now)
	r.JobStored("second")
	r.Place(r.now, r.now, 4)
	g.Expect(r.openOrder()).To(Equal([]string{"first", "second"}))
}

func TestWaitNamesTheShareLevel(t *testing.T) {
	g := NewWithT(t)
	r := newRig(1)
	r.accounts(Account{Name: "a", Weight: 1}, Account{Name: "b", Weight: 3})
	r.FairSharing = true
	r.addFor("a", "a", flow.Step{Count: 5, Demand: demand(1000), EstimateMS: 60_000})
	r.addFor("b", "b", flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 60_000})
	r.startAll()
	r.now = r.now.Add(waitReportInterval)
	levels := make(map[string]int)
	for _, w := range r.Place(r.now, r.now, 4).Waits {
		levels[w.Account.Name] = w.ShareLevel
	}
	g.Expect(levels).To(Equal(map[string]int{"a": 40, "b": 0}))
}

// BenchmarkShareFairly measures what fair sharing adds to ordering the steps of 1,000 accounts in a
// full pool of 6,000 workers. Idle accounts should add nothing.
func BenchmarkShareFairly(b *testing.B) {
	for _, c := range []struct {
		sharing bool
		idle    int
	}{{false, 0}, {true, 0}, {true, 10_000}} {
		b.Run(fmt.Sprintf("sharing=%v,idle=%d", c.sharing, c.idle), func(b *testing.B) {
			r := newRig(0)
			r.FairSharing = c.sharing
			for i := range 6000 {
				id := fmt.Sprintf("w%d", i)
				r.heard(id, func(*Worker) {})
				r.Attached(id, Lists{}, r.now)
			}
			var accounts []Account
			for i := range 1000 + c.idle {
				accounts = append(accounts, Account{Name: fmt.Sprint(i), Weight: 10})
				r.sharerOf(fmt.Sprint(i), "p")
			}
			r.accounts(accounts...)
			for i := range 2000 {
				r.addFor(fmt.Sprint(i%1000), fmt.Sprintf("j%d", i), flow.Step{Count: 10, Demand: demand(1000)})
			}
			for _, s := range r.openStages {
				s.waitTimes.why = Full
			}
			b.ResetTimer()
			for range b.N {
				r.sortOpenStages(r.now)
				r.shareFairly(r.now, r.now)
			}
		})
	}
}
