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
