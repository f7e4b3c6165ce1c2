// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/job"
	"dewpass.org/test/bed"
	"dewpass.org/test/load"
	"dewpass.org/tree"
)

// openWindows removes the time windows of workloads, so that the outcome of a run does not
// depend on the time of day.
func openWindows(ctx context.Context, b *bed.Bed) {
	paths := map[string]string{"comhar": "nightly.window", "kartvela": "belts.window"}
	ops := []tree.Op{{Path: paths[b.Deployment.Name]}}
	if b.Deployment.Name == "kartvela" {
		ops = append(ops, tree.Op{Path: "vans/route-plan.window"})
	}
	var entry tree.Entry
	edit := tree.Edit{ID: "open-windows", Base: 1, Ops: ops}
	Expect(b.Entries[0].Client().Do(ctx, http.MethodPost, "/v1/tree/edits", edit, &entry)).To(Succeed())
	Expect(b.AwaitTree(ctx, entry.Version)).To(Succeed())
}

var _ = Describe("the path from client to worker", func() {
	DescribeTable("answers every kind of workload at every instance",
		func(ctx context.Context, d bed.Deployment, calls, once, jobs []string) {
			b := startBed(ctx, d, 2)
			openWindows(ctx, b)
			for _, p := range b.Entries {
				c := p.Client()
				for _, w := range calls {
					_, err := load.Call(ctx, c, load.NewItem(w, 10*time.Millisecond))
					Expect(err).NotTo(HaveOccurred(), "%s at %s", w, p.Addr.ID)
				}
				for _, w := range once {
					it := load.NewItem(w, 10*time.Millisecond)
					first, err := load.Call(ctx, c, it)
					Expect(err).NotTo(HaveOccurred(), "%s at %s", w, p.Addr.ID)
					again, err := load.Call(ctx, b.Balancer, it)
					Expect(err).NotTo(HaveOccurred(), "%s again", w)
					Expect(again.ID).To(Equal(first.ID))
				}
				for _, w := range jobs {
					it := load.NewItem(w, 100*time.Millisecond)
					row, err := load.Submit(ctx, c, it)
					Expect(err).NotTo(HaveOccurred(), "%s at %s", w, p.Addr.ID)
					row, err = load.Await(ctx, b.Balancer, it, row.ID)
					Expect(err).NotTo(HaveOccurred(), "%s at %s", w, p.Addr.ID)
					Expect(row.State).To(Equal(job.Done))
				}
			}
		},
		Entry("Comhar Dathanna", bed.Comhar,
			[]string{"tinting/shade-lookup", "tinting/formula-match"},
			[]string{"tinting/dispense-order"},
			[]string{"nightly/recalibration"}, SpecTimeout(2*time.Minute)),
		Entry("Kartvela", bed.Kartvela,
			[]string{},
			[]string{"vans/parcel-assignment"},
			[]string{"belts/address-reading", "vans/route-plan", "tracing/trace"}, SpecTimeout(2*time.Minute)),
	)
})
