// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/quota"
)

// quotaRig returns one of two cells, with a limit of an account of 8 processors: 4 here at first.
func quotaRig(workers int) *rig {
	r := newRig(workers)
	r.CellCount = 2
	r.accounts(Account{Name: "a", Limit: limit(8000, 0)})
	r.place()
	return r
}

// exchange has r take what o offers it.
func (r *rig) exchange(o *rig) {
	for _, n := range r.QuotaNeeds(r.now) {
		offer := quota.Offered{Cell: "o", Shares: o.OfferQuota(n, o.now, o.now)}
		for _, t := range n.Takes([]quota.Offered{offer}) {
			o.GiveQuota(n, "r", t.Shares, o.now, o.now)
			l := o.Quota("a")
			r.ReceiveQuota("a", "o", l.Given["r"], r.now)
		}
	}
}

func cpuTasks(n int) flow.Step { return flow.Step{Count: n, Demand: demand(1000)} }

func TestCellRunsNoMoreOfAnAccountThanItsShares(t *testing.T) {
	g := NewWithT(t)
	r, o := quotaRig(4), quotaRig(4)
	r.addFor("a", "j", cpuTasks(12))
	g.Expect(r.startAll()).To(HaveLen(4))
	r.exchange(o)
	g.Expect(r.startAll()).To(HaveLen(4), "the other cell has lent its part")
	r.exchange(o)
	g.Expect(r.startAll()).To(BeEmpty(), "all of the limit is in use")
	o.addFor("a", "k", cpuTasks(1))
	g.Expect(o.startAll()).To(BeEmpty())
}

// A gang that is wider than a cell's equal part was accepted and never ran.
func TestWideGangStartsWithSharesOfOtherCells(t *testing.T) {
	g := NewWithT(t)
	r, o := quotaRig(4), quotaRig(4)
	r.addFor("a", "j", flow.Step{Count: 6, Gang: true, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty())
	g.Expect(r.QuotaNeeds(r.now)).To(HaveExactElements(HaveField("Wide", true)))
	o.addFor("a", "k", cpuTasks(3))
	g.Expect(o.startAll()).To(HaveLen(3))
	r.exchange(o)
	l := r.Quota("a")
	g.Expect(l.Excess()).To(BeZero(), "what is free there is not enough, so it stays")
	o.end(firstRun(o), flow.EndDone)
	r.exchange(o)
	g.Expect(r.startAll()).To(HaveLen(6))
}

// firstRun returns a run of a rig's first worker that has one.
func firstRun(r *rig) Start {
	for _, w := range r.sortedWorkers {
		for _, run := range w.runList {
			return Start{Worker: w.ID, Task: run.task(), Run: run.number}
		}
	}
	return Start{}
}

// A task larger than the limit, or as large, could run in every cell at once.
func TestTaskLargerThanTheLimitRunsAloneInAllCells(t *testing.T) {
	g := NewWithT(t)
	r, o := quotaRig(4), quotaRig(4)
	for _, c := range []*rig{r, o} {
		c.accounts(Account{Name: "a", Limit: limit(1500, 0)})
		c.addFor("a", "j", flow.Step{Count: 1, Demand: demand(2000)})
		g.Expect(c.startAll()).To(BeEmpty())
	}
	o.Cancel("j", o.now)
	r.exchange(o)
	g.Expect(r.startAll()).To(HaveLen(1))
	o.addFor("a", "k", flow.Step{Count: 1, Demand: demand(100)})
	g.Expect(o.startAll()).To(BeEmpty())
}

func TestCellWithMoreThanItsPartGivesBackWhatIsClaimed(t *testing.T) {
	g := NewWithT(t)
	r, o := quotaRig(4), quotaRig(4)
	r.addFor("a", "j", cpuTasks(20))
	starts := r.startAll()
	r.exchange(o)
	starts = append(starts, r.startAll()...)
	g.Expect(starts).To(HaveLen(8))
	o.addFor("a", "k", cpuTasks(2))
	g.Expect(o.startAll()).To(BeEmpty())
	back := func() {
		for _, n := range o.QuotaNeeds(o.now) {
			r.GiveQuota(n, "o", n.Shares, r.now, r.now)
			l := r.Quota("a")
			o.ReceiveQuota("a", "r", l.Given["o"], o.now)
		}
	}
	back()
	for _, s := range starts[:2] {
		r.end(s, flow.EndDone)
	}
	g.Expect(r.startAll()).To(BeEmpty(), "the other cell waits for its own part")
	back()
	g.Expect(o.startAll()).To(HaveLen(2))
	for _, s := range starts[2:] {
		r.end(s, flow.EndDone)
	}
	r.now = r.now.Add(2 * claimTime)
	g.Expect(r.startAll()).To(HaveLen(6))
}

// Shares stayed for ever in the cell that had needed them, out of reach while it had no owner.
func TestSharesGoBackOnceTheyAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	r, o := quotaRig(4), quotaRig(4)
	r.addFor("a", "j", cpuTasks(6))
	starts := r.startAll()
	r.exchange(o)
	starts = append(starts, r.startAll()...)
	g.Expect(starts).To(HaveLen(6))
	excess := func() int64 { l := r.Quota("a"); return l.Excess() }
	for range 5 {
		r.now = r.now.Add(time.Second)
		r.ReturnQuota(2*time.Second, r.now)
		g.Expect(excess()).To(BeNumerically(">", 0), "they are in use")
	}
	for _, s := range starts {
		r.end(s, flow.EndDone)
	}
	r.ReturnQuota(2*time.Second, r.now.Add(time.Second))
	g.Expect(excess()).To(BeNumerically(">", 0))
	r.ReturnQuota(2*time.Second, r.now.Add(2*time.Second))
	g.Expect(excess()).To(BeZero())
	g.Expect(r.QuotasDirty()).To(BeTrue())
}

// What a former owner has started may use the shares that a new one would give away.
func TestNoSharesAreGivenWhileRunsAreNotKnown(t *testing.T) {
	g := NewWithT(t)
	o := quotaRig(1)
	o.heard("unknown", func(*Worker) {})
	need := quota.Need{Account: "a", Shares: 10, Least: 10}
	g.Expect(o.OfferQuota(need, o.now, o.now)).To(BeZero())
	o.Attached("unknown", Lists{}, o.now)
	g.Expect(o.OfferQuota(need, o.now, o.now)).To(BeNumerically(">", 10))
	g.Expect(quotaRig(0).OfferQuota(need, o.now, o.now)).To(BeNumerically(">", 10), "a cell without workers uses none")
}

func TestNothingIsAskedForThatTheLimitForbids(t *testing.T) {
	g := NewWithT(t)
	r := quotaRig(4)
	r.addFor("a", "wide", flow.Step{Count: 9, Gang: true, Demand: demand(1000)})
	r.add("none", cpuTasks(3))
	r.place()
	g.Expect(r.QuotaNeeds(r.now)).To(BeEmpty())
}

func TestOneCellNeedsNoShares(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4)
	r.accounts(Account{Name: "a", Limit: limit(2000, 0)})
	r.addFor("a", "j", cpuTasks(5))
	g.Expect(r.startAll()).To(HaveLen(2))
	g.Expect(r.QuotaNeeds(r.now)).To(BeEmpty())
	g.Expect(r.QuotasDirty()).To(BeFalse())
}
