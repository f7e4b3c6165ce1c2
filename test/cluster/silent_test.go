// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/internal/standin/world"
	"dewpass.org/test/mute"
)

// recoveryTime is the time after the failure of connections within which jobs must be accepted
// again. It is the smallest value that users can configure.
const recoveryTime = 3 * time.Second

// proxies hold a proxy for each service of a testbed.
type proxies struct {
	mu  sync.Mutex
	all map[string]*mute.Proxy
}

// interceptAll puts a proxy in front of every service.
func (p *proxies) interceptAll(o *world.Options) {
	p.all = make(map[string]*mute.Proxy)
	o.ProxyAddr = func(addr string) (string, error) {
		m, err := mute.Listen(addr)
		if err != nil {
			return "", err
		}
		DeferCleanup(m.Close)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.all[m.Addr()] = m
		return m.Addr(), nil
	}
}

// silence makes all open connections to the given addresses carry nothing any more, without a
// reset.
func (p *proxies) silence(addrs ...string) {
	GinkgoHelper()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, addr := range addrs {
		n += p.all[addr].Silence()
	}
	Expect(n).To(BeNumerically(">", 0))
	AddReportEntry("silent connections", n)
}

func (b *testbed) workerAddrs() []string {
	var out []string
	for _, w := range b.world.Workers {
		out = append(out, w.Addr)
	}
	return out
}

// drainNotice is the time after a worker announces that it drains in which it may still get tasks.
const drainNotice = 2 * time.Second

// startsOn returns the number of starts on a worker.
func (b *testbed) startsOn(w *world.Worker) int {
	n := 0
	for _, e := range b.world.Book.Starts() {
		if e.Worker == w.ID {
			n++
		}
	}
	return n
}

// singleStepJob returns a job of one step with count tasks that save no checkpoints.
func singleStepJob(count, ms int) string {
	return fmt.Sprintf(`{"spec":"ms=%d cpu=500 mem=100","steps":[{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":%d}]}`, ms, count, ms)
}

// submitConcurrently submits a job at each given instance, once, all at the same time. It
// returns the ids and the time of the slowest answer.
func (b *testbed) submitConcurrently(to []*instance, job string) (ids []string, slowest time.Duration) {
	GinkgoHelper()
	statuses := make([]int, len(to))
	took := make([]time.Duration, len(to))
	var all sync.WaitGroup
	for i, e := range to {
		id := b.newJobID()
		ids = append(ids, id)
		all.Go(func() {
			begun := time.Now()
			statuses[i], _, _ = b.call(e, http.MethodPost, prefix+id, job)
			took[i] = time.Since(begun)
		})
	}
	all.Wait()
	AddReportEntry("answers", fmt.Sprint(statuses, took))
	for i := range to {
		Expect(statuses[i]).To(Equal(http.StatusOK), ids[i])
		slowest = max(slowest, took[i])
	}
	return ids, slowest
}

// leaseGap returns the longest time between two writes of the lease of cell-0, until stop is
// closed.
func (b *testbed) leaseGap(stop <-chan struct{}) time.Duration {
	last, at, longest := "", time.Now(), time.Duration(0)
	for {
		select {
		case <-stop:
			return max(longest, time.Since(at))
		case <-time.After(5 * time.Millisecond):
		}
		if now := string(b.world.Store.Value(claim.Table, "cell-0", claim.Range("cell-0").From)); now != last {
			longest = max(longest, time.Since(at))
			last, at = now, time.Now()
		}
	}
}

// watchLease measures leaseGap until the returned function is called, which returns the gap.
func (b *testbed) watchLease() func() time.Duration {
	stop, gap := make(chan struct{}), make(chan time.Duration, 1)
	go func() { gap <- b.leaseGap(stop) }()
	return func() time.Duration {
		close(stop)
		longest := <-gap
		AddReportEntry("the cell lease went unwritten for", longest)
		return longest
	}
}

// All open connections to the workers stopped carrying data, without a reset, while new ones
// worked. Hold requests got no answer and were retried over the next idle connection to the same
// worker, which was just as silent. Eight such connections cost a time-out of 0.7 s and a pause of
// 0.4 s each, more than a lease lasts. "worker_unreachable" was logged for eight workers 1.1 s
// after the connections failed and "lease_over" for five of them after 7 s: 80 of 112 runs were
// given up and started again although their workers had never stopped.
var _ = Describe("when open connections go silent", func() {
	It("accepts jobs within three seconds and keeps the cell owned, for connections to the store", func() {
		var p proxies
		b := start(p.interceptAll)
		ids := b.submitChains(8, 4, 400, 300*time.Millisecond)
		gap := b.watchLease()
		p.silence(b.world.StoreAddr)
		more, slowest := b.submitConcurrently(append(b.instances, b.instances...), chainJob(2, 100))
		Expect(slowest).To(BeNumerically("<", recoveryTime))
		b.wantAllSucceeded(append(ids, more...))
		Expect(gap()).To(BeNumerically("<", recoveryTime))
	})

	It("accepts jobs within three seconds when no peer can reach the store instead", func() {
		var p proxies
		b := start(p.interceptAll)
		for _, e := range b.instances[1:] {
			e.kill()
		}
		alone := b.instances[0]
		Eventually(b.owner).Should(Equal(alone))
		b.instances = b.instances[:1]
		var ids []string
		// Concurrent requests fill the pool of idle connections to the store.
		for range 3 {
			some, _ := b.submitConcurrently([]*instance{alone, alone, alone, alone, alone, alone, alone, alone}, chainJob(2, 300))
			ids = append(ids, some...)
		}
		gap := b.watchLease()
		p.silence(b.world.StoreAddr)
		more, slowest := b.submitConcurrently([]*instance{alone}, chainJob(2, 100))
		Expect(slowest).To(BeNumerically("<", recoveryTime))
		b.wantAllSucceeded(append(ids, more...))
		Expect(gap()).To(BeNumerically("<", recoveryTime))
	})

	// With most connections to the store silent, a read of the list of workers must not block for
	// good: the owner would go on giving tasks to a worker that has announced that it drains.
	It("gives nothing to a worker that begins to drain meanwhile", func() {
		var p proxies
		b := start(p.interceptAll)
		ids := b.submitChains(8, 4, 400, 300*time.Millisecond)
		p.silence(b.world.StoreAddr)
		leaves := b.world.Workers[0]
		b.world.Drain(leaves)
		time.Sleep(drainNotice)
		before := b.startsOn(leaves)
		// More tasks than the other workers have capacity for at once.
		more, _ := b.submitConcurrently(b.instances, singleStepJob(28, 300))
		for _, id := range more {
			b.wantState(id, "succeeded")
		}
		Expect(b.startsOn(leaves)).To(Equal(before))
		b.wantAllSucceeded(append(ids, more...))
	})

	It("loses no run, for connections to the workers", func() {
		var p proxies
		b := start(p.interceptAll)
		// Starting as many tasks as fit leaves many idle connections to each worker.
		ids := []string{b.submit(singleStepJob(112, 12000))}
		Eventually(b.runningCount).Should(Equal(112))
		time.Sleep(time.Second)
		p.silence(b.workerAddrs()...)
		begun := time.Now()
		more, _ := b.submitConcurrently(b.instances, singleStepJob(2, 100))
		for _, id := range more {
			b.wantState(id, "succeeded")
		}
		AddReportEntry("new jobs done after", time.Since(begun))
		Expect(time.Since(begun)).To(BeNumerically("<", recoveryTime+time.Second))
		b.wantAllSucceeded(append(ids, more...))
		Expect(b.world.Book.Starts()).To(HaveLen(112 + 4*2))
	})

	It("loses nothing, for all connections and repeatedly", func() {
		var p proxies
		b := start(p.interceptAll, func(o *world.Options) { o.Advice = true })
		gap := b.watchLease()
		var ids []string
		for range 3 {
			ids = append(ids, b.submitChains(4, 4, 1000, 300*time.Millisecond)...)
			p.silence(append(b.workerAddrs(), b.world.StoreAddr, b.world.PolicyAddr)...)
			more, slowest := b.submitConcurrently(b.instances, chainJob(2, 100))
			Expect(slowest).To(BeNumerically("<", recoveryTime))
			ids = append(ids, more...)
		}
		b.wantAllSucceeded(ids)
		Expect(gap()).To(BeNumerically("<", recoveryTime))
	})
})
