// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/front"
	"dewpass.org/internal/client"
	"dewpass.org/internal/fault"
	"dewpass.org/internal/standin"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/test/bed"
	"dewpass.org/test/load"
)

const specTimeout = 4 * time.Minute

var _ = Describe("under load", func() {
	for _, d := range []bed.Deployment{bed.Comhar, bed.Kartvela} {
		It("survives an entry that is killed and comes back: "+d.Name, func(ctx context.Context) {
			b := startBed(ctx, d, 2)
			openWindows(ctx, b)
			runUnderLoad(ctx, b, 8*time.Second, func() {
				time.Sleep(2 * time.Second)
				b.Entries[0].Kill()
				time.Sleep(4 * time.Second)
				Expect(b.Entries[0].Start()).To(Succeed())
			})
			Expect(b.AwaitReady(ctx)).To(Succeed())
		}, SpecTimeout(specTimeout))

		It("survives an entry that is paused and carries on: "+d.Name, func(ctx context.Context) {
			b := startBed(ctx, d, 2)
			openWindows(ctx, b)
			runUnderLoad(ctx, b, 14*time.Second, func() {
				time.Sleep(2 * time.Second)
				b.Entries[0].Freeze()
				time.Sleep(8 * time.Second)
				b.Entries[0].Thaw()
			})
		}, SpecTimeout(specTimeout))

		It("stops all instances in turn without breaking off calls: "+d.Name, func(ctx context.Context) {
			b := startBed(ctx, d, 2)
			openWindows(ctx, b)
			t := &load.Tracker{Clients: nil, Seed: 1}
			t.Clients = append(t.Clients, b.Balancer)
			for _, s := range mixes[d.Name] {
				t.Send(ctx, s, 25*time.Second)
			}
			// Ensures that some long calls are in progress at each instance at any time.
			long := map[string]string{"comhar": "tinting/formula-match", "kartvela": "vans/parcel-assignment"}[d.Name]
			t.Send(ctx, load.Stream{Workload: long, PerSecond: 15, Runs: 1500 * time.Millisecond, Once: d.Name == "kartvela"}, 25*time.Second)
			for _, p := range b.Entries {
				time.Sleep(time.Second)
				Expect(p.Stop(30 * time.Second)).To(Succeed())
				Expect(p.Start()).To(Succeed())
				Expect(b.AwaitReady(ctx)).To(Succeed())
			}
			said := t.Wait()
			verify(ctx, b, said)
			for _, s := range said {
				Expect(s.Outcome).To(BeElementOf(load.Answered, load.Accepted), "%s %s: %v", s.Item.Workload, s.ID, s.Err)
			}
			record, err := b.Record(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(record.Cut).To(BeEmpty())
		}, SpecTimeout(specTimeout))
	}

	It("keeps serving while the platform is away, and loses nothing when it is back", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		openWindows(ctx, b)
		before := &load.Tracker{Clients: b.Clients(), Seed: 1}
		before.Send(ctx, mixes["comhar"][3], 2*time.Second)
		accepted := before.Wait()
		setPlatform(ctx, b, standin.Faults{Down: true})
		for _, p := range b.Entries {
			awaitCutOff(ctx, p)
		}
		during := &load.Tracker{Clients: b.Clients(), Seed: 2}
		for _, s := range mixes["comhar"] {
			during.Send(ctx, s, 6*time.Second)
		}
		said := during.Wait()
		setPlatform(ctx, b, standin.Faults{})
		for _, s := range said {
			switch s.Item.Workload {
			case "tinting/shade-lookup", "tinting/formula-match":
				Expect(s.Outcome).To(Equal(load.Answered), "%s: %v", s.Item.Workload, s.Err)
			default:
				Expect(s.Outcome).To(Equal(load.NotRun), "%s: %v", s.Item.Workload, s.Err)
				Expect(kind.Of(s.Err).RetryAfter).To(BeNumerically(">", 0))
			}
		}
		verify(ctx, b, append(accepted, said...))
	}, SpecTimeout(specTimeout))

	It("fences a former owner that was paused in the middle of a start", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		const rack = "kutaisi-a-r1"
		owner := ownerOf(ctx, b, rack)
		other := b.Entries[0]
		if other == owner {
			other = b.Entries[1]
		}
		// trace submits jobs until one is assigned to the rack, because the front
		// chooses the rack.
		trace := func(account string) load.Response {
			GinkgoHelper()
			for {
				it := load.NewItem("tracing/trace", 25*time.Second)
				it.Account = account
				row, err := load.Submit(ctx, other.Client(), it)
				Expect(err).NotTo(HaveOccurred())
				if row.Rack == rack {
					return load.Response{Item: it, ID: row.ID, Outcome: load.Accepted}
				}
			}
		}
		running := func(c *client.Client, s load.Response) string {
			GinkgoHelper()
			var worker string
			Eventually(func(g Gomega) {
				row, err := load.Get(ctx, c, s.ID)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(row.State).To(Equal(job.Running))
				worker = row.Worker
			}).WithTimeout(time.Minute).Should(Succeed())
			return worker
		}
		// The first job shows which worker the owner fills next.
		first := trace("first-depot")
		packed := running(other.Client(), first)
		// The rule pauses the owner only at the start of the second job, not at
		// one of a service or of a job on another of its racks.
		const stopped = "second-depot"
		stop := rule{Point: "sent", Worker: rack + "-", Account: stopped, Stop: true, DelayMS: 500}
		Expect(owner.SetFaultRules(ctx, []rule{stop})).To(Succeed())
		second := trace(stopped)
		Eventually(func() error {
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			return owner.Client().Do(short, http.MethodGet, "/healthz", nil, nil)
		}).ShouldNot(Succeed(), "the owner must be paused")
		// Keeps the next owner from choosing the same worker again.
		Expect(b.WorkerEvent(ctx, packed, "leave")).To(Succeed())
		Expect(running(other.Client(), second)).NotTo(Equal(packed))
		Expect(b.WorkerEvent(ctx, packed, "return")).To(Succeed())
		owner.Thaw()
		verify(ctx, b, []load.Response{first, second})
		starts, err := b.Starts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(starts[second.Item.Payload.Tag]).To(Equal(1))
	}, SpecTimeout(specTimeout))

	It("never runs a late copy of a request that it refused while the table was away", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		setPlatform(ctx, b, standin.Faults{Down: true})
		awaitCutOff(ctx, b.Entries[0])
		it := load.NewItem("tinting/dispense-order", 20*time.Millisecond)
		it.FirstTry = true
		_, err := load.Call(ctx, b.Entries[0].Client(), it)
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun), "%v", err)
		again := it
		again.FirstTry = false
		_, err = load.Call(ctx, b.Entries[0].Client(), again)
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun), "the refusal must be remembered: %v", err)
		stranger := load.NewItem("tinting/dispense-order", 20*time.Millisecond)
		_, err = load.Call(ctx, b.Entries[0].Client(), stranger)
		Expect(kind.Of(err).Outcome).To(Equal(kind.Unknown), "an earlier try may have run: %v", err)
		setPlatform(ctx, b, standin.Faults{})
		Eventually(func(g Gomega) {
			var rows []ports.Row
			path := "/record/rows?prefix=" + job.RequestKeyRowKey(it.Account, it.Key)
			g.Expect(b.Admin.Do(ctx, http.MethodGet, path, nil, &rows)).To(Succeed())
			g.Expect(rows).To(HaveLen(1))
		}).Should(Succeed())
		_, err = load.Call(ctx, b.Entries[5].Client(), again)
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun), "%v", err)
		starts, err := b.Starts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(starts).NotTo(HaveKey(it.Payload.Tag))
	}, SpecTimeout(specTimeout))

	It("keeps serving in a hall that is cut off, which rejoins without loss", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		openWindows(ctx, b)
		inside := cutHall(ctx, b, "naas-hall")
		t := &load.Tracker{Clients: inside, Seed: 1}
		for _, s := range mixes["comhar"] {
			t.Send(ctx, s, 8*time.Second)
		}
		others := &load.Tracker{Clients: []*client.Client{b.Entries[2].Client(), b.Entries[3].Client()}, Seed: 2}
		for _, s := range mixes["comhar"] {
			others.Send(ctx, s, 8*time.Second)
		}
		time.Sleep(4 * time.Second)
		b.Entries[0].Kill()
		said, outside := t.Wait(), others.Wait()
		Expect(b.Entries[0].Start()).To(Succeed())
		clearFaults(ctx, b)
		lookups := 0
		for _, s := range said {
			if s.Item.Workload == "tinting/shade-lookup" && s.Outcome == load.Answered {
				lookups++
			}
		}
		Expect(lookups).To(BeNumerically(">", 100), "a hall that is cut off must serve lookups")
		for _, s := range outside {
			Expect(s.Outcome).To(BeElementOf(load.Answered, load.Accepted), "%s: %v", s.Item.Workload, s.Err)
		}
		Expect(b.AwaitReady(ctx)).To(Succeed())
		verify(ctx, b, append(said, outside...))
	}, SpecTimeout(specTimeout))

	It("returns only complete answers although answers are cut and crossed", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		openWindows(ctx, b)
		for _, w := range b.Config.Workers {
			Expect(b.SetFaults(ctx, "worker/"+w.ID, standin.Faults{CutEvery: 5, CrossEvery: 7, LoseEvery: 11})).To(Succeed())
		}
		said := runUnderLoad(ctx, b, 6*time.Second, func() {})
		Expect(countOutcomes(said)[load.Wrong]).To(BeZero())
		Expect(countOutcomes(said)[load.Answered]).To(BeNumerically(">", len(said)/2))
	}, SpecTimeout(specTimeout))

	It("takes over the work of workers that crash, and repeats none that must not be repeated", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		openWindows(ctx, b)
		runUnderLoad(ctx, b, 10*time.Second, func() {
			for i, w := range b.Config.Workers {
				if i%6 != 0 {
					continue
				}
				time.Sleep(300 * time.Millisecond)
				Expect(b.WorkerEvent(ctx, w.ID, "crash")).To(Succeed())
				if i%12 == 0 {
					time.Sleep(time.Second)
					Expect(b.WorkerEvent(ctx, w.ID, "restart")).To(Succeed())
				}
			}
		})
	}, SpecTimeout(specTimeout))

	It("starts the jobs of a dead worker again although its rack was taken over", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		said := submitAt(ctx, b, "kutaisi-a", 6, 6*time.Second)
		row, err := load.Get(ctx, b.Balancer, said[0].ID)
		Expect(err).NotTo(HaveOccurred())
		owner := ownerOf(ctx, b, row.Rack)
		Expect(b.WorkerEvent(ctx, row.Worker, "crash")).To(Succeed())
		owner.Kill()
		verify(ctx, b, said)
	}, SpecTimeout(specTimeout))

	It("moves the jobs of a rack that is dead to others", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		said := submitAt(ctx, b, "kutaisi-a", 6, 6*time.Second)
		for _, w := range b.Config.Workers {
			if w.Rack == "kutaisi-a-r1" {
				Expect(b.WorkerEvent(ctx, w.ID, "crash")).To(Succeed())
			}
		}
		verify(ctx, b, said)
	}, SpecTimeout(specTimeout))

	It("gives a leaving worker no new work, and moves its jobs", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		openWindows(ctx, b)
		runUnderLoad(ctx, b, 12*time.Second, func() {
			time.Sleep(2 * time.Second)
			for i, w := range b.Config.Workers {
				if i%3 == 0 {
					Expect(b.WorkerEvent(ctx, w.ID, "leave")).To(Succeed())
				}
			}
		})
	}, SpecTimeout(specTimeout))

	It("tolerates a table that is slow, is limited in its rate, and loses answers", func(ctx context.Context) {
		b := startBed(ctx, bed.Kartvela, 2)
		openWindows(ctx, b)
		Expect(b.SetFaults(ctx, "table", standin.Faults{DelayMS: 60, PerSecond: 60, LoseEvery: 4})).To(Succeed())
		runUnderLoad(ctx, b, 8*time.Second, func() {})
		Expect(b.SetFaults(ctx, "table", standin.Faults{})).To(Succeed())
	}, SpecTimeout(specTimeout))
})

func setPlatform(ctx context.Context, b *bed.Bed, f standin.Faults) {
	GinkgoHelper()
	for _, what := range []string{"table", "objects", "instances"} {
		Expect(b.SetFaults(ctx, what, f)).To(Succeed())
	}
}

// awaitCutOff waits until an instance reports that the platform is away. Until then the outcome
// of its writes is unknown, and its answers say so.
func awaitCutOff(ctx context.Context, p *bed.Process) {
	GinkgoHelper()
	Eventually(func() bool {
		var s front.Status
		return p.Client().Do(ctx, http.MethodGet, "/v1/status", nil, &s) == nil && s.CutOff
	}).Should(BeTrue())
}

// rule is a rule for the fault points of an instance.
type rule = fault.Rule

// cutHall cuts the links of a hall's instances to the platform, and both ways to the instances of
// other halls. It returns clients of the hall's instances.
func cutHall(ctx context.Context, b *bed.Bed, hall string) []*client.Client {
	GinkgoHelper()
	var inside []*client.Client
	for _, p := range b.Entries {
		var rules []rule
		for _, o := range b.Entries {
			if (o.Addr.Hall == hall) != (p.Addr.Hall == hall) {
				rules = append(rules, rule{Addr: "peer/" + o.Addr.Peer, Cut: true})
			}
		}
		if p.Addr.Hall == hall {
			rules = append(rules, rule{Addr: "platform", Cut: true})
			inside = append(inside, p.Client())
		}
		Expect(p.SetFaultRules(ctx, rules)).To(Succeed())
	}
	return inside
}

// clearFaults removes all fault rules from the running instances.
func clearFaults(ctx context.Context, b *bed.Bed) {
	GinkgoHelper()
	for _, p := range b.Entries {
		if p.Running() {
			Eventually(func() error { return p.SetFaultRules(ctx, []rule{}) }).Should(Succeed())
		}
	}
}
