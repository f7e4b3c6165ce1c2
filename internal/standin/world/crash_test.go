// SPDX-License-Identifier: Apache-2.0

package world

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// On a busy machine the timer of the crash can fire late. A run whose length had passed by then used
// to end as done although its crash was due earlier (soak seed 47).
func TestRunDoesNotEndAsDoneWhenItsCrashIsDue(t *testing.T) {
	g := NewWithT(t)
	w := &World{Book: newBook(), Policy: &Policy{}, stop: make(chan struct{})}
	w.Policy.world = w
	n := w.makeWorker("north", 0)
	n.cpu, n.mem = 1000, 1000
	o := &order{Task: "a.0.0.0", Run: 1, Spec: "ms=300 cpu=1 mem=1 crashes=3600000 only=0", Deadline: n.clock() + 10_000, Fence: 1}
	status, _ := n.handle("/dewpass/run-start", o)
	g.Expect(status).To(Equal(http.StatusOK))
	r := n.runs[o.Task]
	r.crashAt = r.started.Add(150 * time.Millisecond)
	n.tick(r.started.Add(100 * time.Millisecond))
	n.tick(r.started.Add(310 * time.Millisecond))
	g.Expect(w.Book.Starts()[0].Outcome).NotTo(Equal("done"))
}
