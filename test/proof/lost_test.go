// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin"
	"dewpass.org/ports"
	"dewpass.org/test/bed"
	"dewpass.org/test/load"
)

// oversizedAnswer is an answer size that does not fit into the row of a job.
const oversizedAnswer = 40 << 10

var _ = Describe("loss on the network", func() {
	It("violates no rule on links that carry one way only", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		openWindows(ctx, b)
		runUnderLoad(ctx, b, 12*time.Second, func() {
			for i, p := range b.Entries {
				var rules []rule
				switch i % 3 {
				case 0:
					rules = append(rules, rule{Addr: "platform", Deaf: true})
				case 1:
					for _, o := range b.Entries {
						rules = append(rules, rule{Addr: "peer/" + o.Addr.Peer, Deaf: true})
					}
				default:
					for _, w := range b.Config.Workers {
						rules = append(rules, rule{Addr: w.Addr, Deaf: true})
					}
				}
				Expect(p.SetFaultRules(ctx, rules)).To(Succeed())
				time.Sleep(1500 * time.Millisecond)
				Expect(p.SetFaultRules(ctx, []rule{})).To(Succeed())
			}
		})
	}, SpecTimeout(specTimeout))

	It("keeps no job from its complete answer with an object store that is away, slow, or loses answers", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		openWindows(ctx, b)
		t := &load.Tracker{Clients: b.Clients(), Seed: 1}
		stream := load.Stream{Workload: "tracing/trace", PerSecond: 8, Runs: time.Second, Job: true, Bytes: oversizedAnswer, Save: 300 * time.Millisecond}
		t.Send(ctx, stream, 9*time.Second)
		for _, f := range []standin.Faults{{Down: true}, {DelayMS: 150, PerSecond: 20}, {LoseEvery: 2}} {
			Expect(b.SetFaults(ctx, "objects", f)).To(Succeed())
			time.Sleep(3 * time.Second)
		}
		said := t.Wait()
		Expect(b.SetFaults(ctx, "objects", standin.Faults{})).To(Succeed())
		for _, s := range said {
			Expect(s.Outcome).To(Equal(load.Accepted), "%v", s.Err)
		}
		verify(ctx, b, said)
	}, SpecTimeout(specTimeout))
})

var _ = Describe("clocks that run fast or slow", func() {
	const (
		fast = 1.05
		slow = 0.95
	)
	// setClocks makes the clocks of the instances fast and slow alternately, and
	// those of the workers slow and fast.
	setClocks := func(ctx context.Context, b *bed.Bed) {
		GinkgoHelper()
		rates := []float64{fast, slow}
		for i, p := range b.Entries {
			Expect(p.SetFaultRules(ctx, []rule{{Rate: rates[i%2]}})).To(Succeed())
		}
		for i, w := range b.Config.Workers {
			Expect(b.SetFaults(ctx, "worker/"+w.ID, standin.Faults{ClockRate: rates[(i+1)%2]})).To(Succeed())
		}
	}

	It("keep every promise under load, kills and pauses", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		openWindows(ctx, b)
		setClocks(ctx, b)
		runUnderLoad(ctx, b, 14*time.Second, func() {
			time.Sleep(2 * time.Second)
			b.Entries[0].Freeze()
			time.Sleep(5 * time.Second)
			b.Entries[0].Thaw()
			b.Entries[2].Kill()
		})
	}, SpecTimeout(specTimeout))

	It("let no fast owner start a task again while a slow worker that it cannot reach may run it", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		said := submitAt(ctx, b, "kutaisi-a", 3, 30*time.Second)
		byWorker := make(map[string]bool)
		for _, s := range said {
			row, err := load.Get(ctx, b.Balancer, s.ID)
			Expect(err).NotTo(HaveOccurred())
			byWorker[row.Worker] = true
		}
		for worker := range byWorker {
			Expect(b.SetFaults(ctx, "worker/"+worker, standin.Faults{ClockRate: slow})).To(Succeed())
		}
		for _, p := range b.Entries {
			rules := []rule{{Rate: fast}}
			for worker := range byWorker {
				rules = append(rules, rule{Addr: "worker/" + worker, Cut: true})
			}
			Expect(p.SetFaultRules(ctx, rules)).To(Succeed())
		}
		starts := func() int {
			tags, err := b.Starts(ctx)
			Expect(err).NotTo(HaveOccurred())
			most := 0
			for _, s := range said {
				most = max(most, tags[s.Item.Payload.Tag])
			}
			return most
		}
		Eventually(starts).WithTimeout(time.Minute).Should(BeNumerically(">", 1), "they must be started elsewhere in the end")
		clearFaults(ctx, b)
		verify(ctx, b, said)
	}, SpecTimeout(specTimeout))
})

var _ = Describe("a list of instances that lags and is wrong", func() {
	It("overrides nothing that workers and peers report themselves", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		openWindows(ctx, b)
		runUnderLoad(ctx, b, 10*time.Second, func() {
			for i, w := range b.Config.Workers {
				if i%5 != 0 {
					continue
				}
				// A live worker disappears from the list, and an unknown one appears.
				Expect(b.UnlistInstance(ctx, w.ID)).To(Succeed())
				stranger := ports.Instance{ID: "stranger-" + w.ID, Role: ports.RoleWorker, Hall: w.Hall, Rack: w.Rack, Addr: "127.0.0.1:9"}
				Expect(b.ListInstance(ctx, stranger)).To(Succeed())
			}
			time.Sleep(5 * time.Second)
			for i, w := range b.Config.Workers {
				if i%5 == 0 {
					Expect(b.UnlistInstance(ctx, "stranger-"+w.ID)).To(Succeed())
					Expect(b.ListInstance(ctx, w.Instance())).To(Succeed())
				}
			}
		})
		Eventually(func(g Gomega) {
			owners, err := b.Owners(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(owners).To(HaveLen(6))
		}).Should(Succeed())
	}, SpecTimeout(specTimeout))
})

var _ = Describe("work that has ended", func() {
	It("is removed from the table and the object store once it was kept for long enough", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		openWindows(ctx, b)
		const keep = `"12s"`
		v := editTree(ctx, b.Balancer, 2, "keep", op("tracing.keep", keep), op("vans.keep", keep))
		Expect(b.AwaitTree(ctx, v)).To(Succeed())
		t := &load.Tracker{Clients: b.Clients(), Seed: 1}
		t.Send(ctx, load.Stream{Workload: "tracing/trace", PerSecond: 10, Runs: 200 * time.Millisecond, Job: true, Bytes: oversizedAnswer}, time.Second)
		t.Send(ctx, load.Stream{Workload: "vans/parcel-assignment", PerSecond: 10, Runs: 20 * time.Millisecond, Once: true}, time.Second)
		said := t.Wait()
		verify(ctx, b, said)
		left := func() []string {
			var out []string
			for _, prefix := range []string{"job/", "key/", "rackjob/", "expiry/"} {
				var rows []ports.Row
				Expect(b.Admin.Do(ctx, http.MethodGet, "/record/rows?prefix="+prefix, nil, &rows)).To(Succeed())
				for _, r := range rows {
					if !strings.Contains(r.Key, "svc-") {
						out = append(out, r.Key)
					}
				}
			}
			return out
		}
		Expect(left()).NotTo(BeEmpty())
		Eventually(left).WithTimeout(2 * time.Minute).Should(BeEmpty())
		var objects []string
		Expect(b.Admin.Do(ctx, http.MethodGet, "/record/objects", nil, &objects)).To(Succeed())
		Expect(objects).To(BeEmpty())
	}, SpecTimeout(specTimeout))
})
