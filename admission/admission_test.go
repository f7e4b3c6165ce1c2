// SPDX-License-Identifier: Apache-2.0

package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/admission"
	"dewpass.org/retry"
)

func TestDecide(t *testing.T) {
	const processors = 1000
	fresh := func(waiting, rate int64) admission.Report {
		return admission.Report{Waiting: waiting, Rate: rate, Capacity: 100 * processors, Age: 250 * time.Millisecond}
	}
	aged := func(age time.Duration) admission.Report {
		r := fresh(1_000_000, 50*processors)
		r.Age = age
		return r
	}
	job := admission.Job{ID: "0123456789abcdef", Objective: 4 * time.Second, Chain: time.Second, Question: 500 * time.Millisecond}
	for _, c := range []struct {
		name   string
		report admission.Report
		job    admission.Job
		end    time.Duration
		refuse bool
	}{
		{"nothing waits", fresh(0, 0), job, 1500 * time.Millisecond, false},
		{"a wait that the objective allows", fresh(100_000, 50*processors), job, 3500 * time.Millisecond, false},
		{"a wait that is too long", fresh(200_000, 50*processors), job, 5500 * time.Millisecond, true},
		{"an unknown rate: a quarter of the capacity", fresh(50_000, 0), job, 3500 * time.Millisecond, false},
		{"a rate below a quarter of the capacity", fresh(100_000, processors), job, 5500 * time.Millisecond, true},
		{"work sent since the report", admission.Report{Waiting: 50_000, Sent: 150_000, Rate: 50 * processors, Capacity: 100 * processors}, job, 5500 * time.Millisecond, true},
		{"the oldest report that is used", aged(admission.MaxReportAge), job, 21500 * time.Millisecond, true},
		{"a stale report", aged(admission.MaxReportAge + 1), job, 0, false},
		{"a report from the future", aged(-1), job, 0, false},
		{"no report", admission.Report{}, job, 0, false},
		{"no workers yet", admission.Report{Waiting: 1_000_000}, job, 0, false},
		{"no objective", fresh(1_000_000, 50*processors), admission.Job{ID: "a", Chain: time.Second}, 21 * time.Second, false},
		{"an objective that no job meets", fresh(100_000, 50*processors), admission.Job{ID: "a", Objective: time.Second, Chain: time.Second}, 3 * time.Second, false},
		{"a wait beyond all bounds", fresh(1<<62, 0), job, time.Hour + 1500*time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := admission.Decide(c.report, c.job)
			g.Expect(d.Refused).To(Equal(c.refuse))
			g.Expect(d.End).To(Equal(c.end))
			if c.refuse {
				g.Expect(d.RetryAfter).To(And(BeNumerically(">=", retry.MinDelay), BeNumerically("<=", retry.MaxDelay)))
			} else {
				g.Expect(d.RetryAfter).To(BeZero())
			}
		})
	}
}

// Guards against instances that all refuse, and then all accept, from the same report on.
func TestRefusedFractionRisesBetweenTheObjectiveAndATenthBeyond(t *testing.T) {
	g := NewWithT(t)
	const jobs = 2000
	for percent, want := range map[int64]float64{99: 0, 100: 0, 103: 0.3, 105: 0.5, 109: 0.9, 110: 1, 150: 1} {
		r := admission.Report{Waiting: 10 * (10*percent - 500), Rate: 10, Capacity: 10}
		refused, delays := 0, make(map[time.Duration]bool)
		for i := range jobs {
			d := admission.Decide(r, admission.Job{ID: fmt.Sprintf("%016x", i*2654435761), Objective: 1000 * time.Second, Chain: 500 * time.Second})
			if d.Refused {
				refused++
				delays[d.RetryAfter.Round(time.Millisecond)] = true
			}
		}
		g.Expect(float64(refused)/jobs).To(BeNumerically("~", want, 0.04), "%d%% of the objective", percent)
		if refused > jobs/2 {
			g.Expect(len(delays)).To(BeNumerically(">", jobs/4), "callers do not all return at the same time")
		}
	}
}
