// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"os/exec"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A task that ends its worker's process is lost with that worker, and lost runs were started
// again without end: one owner started one such task every 3.5 s, each time on another worker,
// which took seven tasks of others with it (run_lost with began=false, age_ms=1, and seven with
// began=true beside it). Only ends that a worker lists as failed counted against a task, and
// nobody lists the end of a run that ended its worker.

// crashing is a job of one step, of which one task, or each with only below 0, ends its
// worker's process so long after its start.
func crashing(count int, after time.Duration, only int) string {
	return fmt.Sprintf(`{"spec":"ms=300 cpu=500 mem=100 crashes=%d only=%d","steps":[`+
		`{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":300}]}`, after.Milliseconds(), only, count)
}

// crashesMost is how many workers one such task may take with it.
const crashesMost = 3

// crashes returns how many workers the tasks of a job have crashed.
func (b *bed) crashes(id string) int {
	sum := 0
	for task, n := range b.world.Book.Crashes() {
		if strings.HasPrefix(task, id) {
			sum += n
		}
	}
	return sum
}

var _ = Describe("a task that crashes its workers", func() {
	It("is given up, and nothing that ran beside it", func() {
		b := start()
		others := b.submitSome(8, 4, 600, 400*time.Millisecond)
		bad := []string{b.submit(crashing(1, 0, -1)), b.submit(crashing(3, 10*time.Millisecond, 1))}
		others = append(others, b.submitSome(8, 4, 600, 400*time.Millisecond)...)
		for _, id := range bad {
			b.wantState(id, "failed")
			Expect(b.crashes(id)).To(BeNumerically("<=", crashesMost), id)
		}
		b.wantWhole(others)
	})

	It("is given up in time though owners are lost meanwhile", func() {
		b := start()
		bad := []string{b.submit(crashing(1, 0, -1)), b.submit(crashing(4, 200*time.Millisecond, 2))}
		var others []string
		for range 2 {
			others = append(others, b.submitSome(4, 4, 600, 1500*time.Millisecond)...)
			owner := b.owner()
			owner.kill()
			owner.run()
		}
		for _, id := range bad {
			b.wantState(id, "failed")
		}
		// The book holds a third start after the third crash against the owners.
		b.wantWhole(others)
	})

	It("is told of with each loss, and why it was given up", func() {
		b := start()
		id := b.submit(crashing(1, 10*time.Millisecond, -1))
		b.wantState(id, "failed")
		var logs strings.Builder
		for _, e := range b.entries {
			logs.WriteString(e.log.String())
		}
		out, err := explain(id, logs.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("run_lost"))
		Expect(out).To(ContainSubstring("blame=sole"))
		Expect(out).To(ContainSubstring("task_given_up"))
		Expect(out).To(MatchRegexp("job_ended.*state=failed"))
		Expect(b.metrics()).To(ContainSubstring("tasks_given_up_total"))
	})
})

// explain returns what the program tells of a job from logs.
func explain(id, logs string) (string, error) {
	cmd := exec.Command(binary, "explain", id)
	cmd.Stdin = strings.NewReader(logs)
	out, err := cmd.CombinedOutput()
	return string(out), err
}
