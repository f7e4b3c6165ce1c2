// SPDX-License-Identifier: Apache-2.0

package flow_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/kind"
)

func TestFlow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flow")
}

var _ = Describe("a job", func() {
	It("returns the length of its critical path", func() {
		s := &flow.Spec{Steps: []flow.Step{
			{Count: 1, EstimateMS: 100}, {Count: 1, EstimateMS: 500, DependsOn: []int{0}},
			{Count: 1, EstimateMS: 50, DependsOn: []int{0}}, {Count: 1, EstimateMS: 10, DependsOn: []int{1, 2}},
		}}
		Expect(s.CriticalPath(0)).To(Equal(610 * time.Millisecond))
		Expect(s.CriticalPath(2)).To(Equal(60 * time.Millisecond))
	})

	DescribeTable("is rejected with the path of the invalid field", func(s flow.Spec, path string) {
		err := s.Check()
		Expect(kind.Is(err, kind.BadRequest)).To(BeTrue())
		Expect(kind.Of(err).Path).To(Equal(path))
	},
		Entry("no steps", flow.Spec{}, "/steps"),
		Entry("a long text", flow.Spec{Text: strings.Repeat("x", flow.MaxText+1)}, "/spec"),
		Entry("no tasks", flow.Spec{Steps: []flow.Step{{}}}, "/steps/count"),
		Entry("a dependency on the step itself", flow.Spec{Steps: []flow.Step{{Count: 1, DependsOn: []int{0}}}}, "/steps/after"),
		Entry("too many tasks over all repetitions", flow.Spec{RepeatCount: 1000, Steps: []flow.Step{{Count: 1000}}}, "/steps"),
	)

	It("becomes due at the time of each repetition", func() {
		s := &flow.Spec{RepeatCount: 2, StartMS: 5000, EveryMS: 100}
		Expect(s.Due(1)).To(Equal(time.UnixMilli(5100)))
		Expect((&flow.Spec{}).Due(0).IsZero()).To(BeTrue())
	})
})

var _ = It("a record decodes to what was encoded", func() {
	var done flow.BitSet
	done.Set(9)
	rec := &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Halls: []string{"h"}, Done: done, FailedRuns: map[int][]int{2: {4097}}}}}
	got, err := flow.DecodeRecord(flow.Encode(rec))
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(rec))
	Expect(got.Stages[0].Done.Has(9)).To(BeTrue())
	Expect(got.Stages[0].Done.Has(8)).To(BeFalse())
})
