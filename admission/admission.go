// SPDX-License-Identifier: Apache-2.0

// Package admission decides whether a new job is accepted, from what the owner of its cell reports
// about the job's queue.
//
// # Model
//
// A job waits until the work before it has completed: the work that waits at the priority of its
// queue or a more urgent one, divided by the rate at which such work completes. The rate already
// allows for the capacity that more urgent queues use. It is taken to be at least a quarter of the
// cell's capacity, because few completions may also mean that there was little to do. The job then
// needs one question to the policy and its longest chain of steps. If that ends well after its
// objective, the job is refused before it is stored, and its caller is told to return when the wait
// will have become short enough.
//
// Reports reach all instances at about the same time. If each refused every job from the same wait
// on, arrivals would stop and resume everywhere at once. So the fraction of jobs that is refused
// rises with the predicted end, and a hash of the id selects them.
//
// Refusing needs evidence. Without a recent report, jobs are accepted, and so are jobs that would
// miss their objective even without a wait: it would not help their callers to return later.
//
// The functions are pure: they use no clock, no randomness and no state.
package admission

import (
	"math"
	"time"

	"dewpass.org/retry"
)

const (
	// MaxReportAge is the age from which a report is not used any more: an owner sends one every
	// 250 ms, so three have been lost by then.
	MaxReportAge = time.Second
	// minRateDivisor sets the lowest rate that is assumed, as a part of the cell's capacity.
	minRateDivisor = 4
	// rampDivisor sets the range of the predicted end, as a part of the objective, over which the
	// fraction of refused jobs rises from none to all.
	rampDivisor = 10
	// maxWait bounds the predicted wait, so that sums with it do not overflow.
	maxWait = time.Hour
	// maxBaseDelay is the longest delay before jitter, which adds up to a half.
	maxBaseDelay = retry.MaxDelay * 2 / 3
)

// Report is what is known of the load of a queue.
type Report struct {
	// Waiting is the work that waits before a new job of the queue, and Sent the work that the
	// instance has sent there since the report, both in milliseconds of one processor.
	Waiting, Sent int64
	// Rate is the rate at which such work completes and Capacity the cell's capacity, both in
	// thousandths of a processor. A Rate of 0 means that it is not known yet, a Capacity of 0 that
	// there is no report.
	Rate, Capacity int64
	// Age is the time since the report. It is negative if the report has a time in the future.
	Age time.Duration
}

// usable reports whether jobs may be refused because of r.
func (r *Report) usable() bool { return r.Capacity > 0 && r.Age >= 0 && r.Age <= MaxReportAge }

// Wait returns how long a new job is predicted to wait, for a report with a Capacity.
func (r *Report) Wait() time.Duration {
	rate := max(r.Rate, r.Capacity/minRateDivisor, 1)
	seconds := float64(r.Waiting+r.Sent) / float64(rate)
	return time.Duration(math.Min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// Job is what the decision depends on of a job.
type Job struct {
	ID string
	// Objective is the time from the job's arrival within which it should end.
	Objective time.Duration
	// Chain is the estimated duration of the longest chain of steps.
	Chain time.Duration
	// Question is how long a question to the policy takes, 0 without a policy.
	Question time.Duration
}

// Decision is whether a job is accepted.
type Decision struct {
	Refused bool
	// End is the predicted time from the job's arrival to its end, 0 if nothing is known.
	End time.Duration
	// RetryAfter is when the caller of a refused job should return.
	RetryAfter time.Duration
}

// Decide decides whether a job is accepted. The same report and job give the same decision.
func Decide(r Report, j Job) Decision {
	if !r.usable() {
		return Decision{}
	}
	unhindered := j.Question + j.Chain
	d := Decision{End: r.Wait() + unhindered}
	if unhindered >= j.Objective {
		return d
	}
	excess := d.End - j.Objective
	if excess <= retry.Jitter(j.Objective/rampDivisor, j.ID) {
		return d
	}
	d.Refused = true
	// The base delay is limited, not the result: otherwise all callers with a long wait would
	// return at the same time.
	base := min(max(excess, retry.MinDelay), maxBaseDelay)
	d.RetryAfter = base + retry.Jitter(base/2, "return/"+j.ID)
	return d
}
