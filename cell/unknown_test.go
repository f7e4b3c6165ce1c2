// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"testing"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

func TestWhatHadEndedBeforeItsJobWasKnownIsNotStartedAgain(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.heard("w0", func(*Worker) {})
	task := flow.TaskID{Job: "j"}
	// A former owner, which no longer is one, was told of a job and started it at once.
	r.Attached("w0", Lists{Finished: []Finished{{Number: 1, Task: task, Run: 8193, How: flow.EndDone}}}, r.now)
	r.save()
	g.Expect(r.Observed("w0")).To(Equal(1), "the worker may forget it")
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty())
}

func TestWhatRanBeforeItsJobWasKnownIsNotStartedBesideItself(t *testing.T) {
	g := NewWithT(t)
	r := newRig(0)
	r.heard("w0", func(*Worker) {})
	r.heard("w1", func(*Worker) {})
	task := flow.TaskID{Job: "j"}
	r.Attached("w0", Lists{Running: []Running{{Task: task, Run: 8193}}}, r.now)
	r.Attached("w1", Lists{}, r.now)
	r.add("j", flow.Step{Count: 1, Demand: demand(1000)})
	g.Expect(r.startAll()).To(BeEmpty())
	state, _ := r.State("j")
	g.Expect(state).To(Equal(flow.Running))
	r.Listed("w0", Lists{Finished: []Finished{{Number: 1, Task: task, Run: 8193, How: flow.EndDone}}}, r.now, r.now)
	r.save()
	state, _ = r.State("j")
	g.Expect(state).To(Equal(flow.Succeeded))
}
