// SPDX-License-Identifier: Apache-2.0

package job_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dewpass.org/job"
	"dewpass.org/ports"
)

func TestJob(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "job")
}

var allStates = []job.State{
	job.Queued, job.Dispatched, job.Running, job.Done, job.Failed, job.Cancelled, job.Unknown, job.Refused,
}

var _ = Describe("the states of a job", func() {
	It("never leave a final state, nor return from running to queued if the job must not be repeated", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			j := job.Job{State: job.Queued, Repeat: ports.RepeatNever}
			ran := false
			for range 20 {
				next, err := j.Transition(rapid.SampledFrom(allStates).Draw(t, "to"))
				if err != nil {
					continue
				}
				if j.State.Final() {
					t.Fatalf("transition from final state %s to %s", j.State, next.State)
				}
				ran = ran || next.State == job.Running
				if ran && next.State == job.Queued {
					t.Fatal("queued again after it ran")
				}
				j = next
			}
		})
	})
})

func FuzzDecode(f *testing.F) {
	f.Add(job.Encode(job.Job{ID: "x", State: job.Queued}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = job.Decode(raw)
		_, _ = job.DecodeRequestKey(raw)
	})
}
