// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/front"
	"dewpass.org/job"
	"dewpass.org/test/bed"
)

// replicas returns the live replicas of Comhar's service.
func replicas(ctx context.Context, b *bed.Bed) []job.Job {
	GinkgoHelper()
	var live []job.Job
	after := ""
	for {
		var list front.JobList
		Expect(b.Entries[0].Client().Do(ctx, "GET", "/v1/jobs?limit=1000&workload=tintline/matcher&after="+after, nil, &list)).To(Succeed())
		for _, j := range list.Jobs {
			if !j.State.Final() {
				live = append(live, j)
			}
		}
		if list.After == "" {
			return live
		}
		after = list.After
	}
}

var _ = Describe("a service", func() {
	It("is kept at its count when that is raised or lowered and an owner is killed", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		version := uint64(1)
		count := func(n string, want int) {
			GinkgoHelper()
			version = editTree(ctx, b.Entries[0].Client(), version, "count-"+n, op("tintline/matcher.count", n), op("tintline/matcher.cpu", `"10m"`), op("tintline/matcher.memory", `"8MiB"`))
			Eventually(func() int { return len(replicas(ctx, b)) }).WithTimeout(time.Minute).Should(Equal(want))
			Consistently(func() int { return len(replicas(ctx, b)) }, 3*time.Second).Should(Equal(want))
		}
		Eventually(func() int { return len(replicas(ctx, b)) }).Should(Equal(6))
		halls := map[string]int{}
		for _, j := range replicas(ctx, b) {
			halls[j.Hall]++
		}
		Expect(halls).To(HaveLen(3), "replicas must be spread over the halls")
		count("30", 30)
		b.Entries[1].Kill()
		count("9", 9)
		Eventually(func(g Gomega) {
			for _, j := range replicas(ctx, b) {
				g.Expect(j.State).To(Equal(job.Running))
			}
		}).WithTimeout(time.Minute).Should(Succeed())
	}, SpecTimeout(specTimeout))
})
