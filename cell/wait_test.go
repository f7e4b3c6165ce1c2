// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

var _ = Describe("a step that waits for long", func() {
	It("is reported now and then with the reason", func() {
		r := newRig(1)
		r.add("j", flow.Step{Count: 1, Demand: demand(9000)})
		Expect(r.Place(r.now, r.now, 0).Waits).To(BeEmpty())
		r.now = r.now.Add(waitReportInterval)
		Expect(r.Place(r.now, r.now, 0).Waits).To(Equal([]Wait{{Step: flow.StepID{Job: "j"}, Why: Full, Tasks: 1, For: waitReportInterval}}))
		Expect(r.Place(r.now, r.now, 0).Waits).To(BeEmpty())
	})

	It("has different reasons for waiting for the policy, the store and workers", func() {
		r := newRig(1)
		r.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 1, Advice: &Advice{Valid: time.Hour}}})
		r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
		a := r.Place(r.now, r.now, 1)
		s := r.stage(flow.StepID{Job: "j"})
		Expect(r.noWorkerReason(s, r.now)).To(Equal(NoAdvice))
		r.Advised(a.Asks[0], []Ticket{{Worker: "w0", Text: "t"}}, time.Hour, r.now)
		r.Place(r.now, r.now, 1)
		Expect(r.noWorkerReason(s, r.now)).To(Equal(NotWritten))
		r.save()
		Expect(r.noWorkerReason(s, r.now)).To(Equal(NoWorker))
	})
})
