// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// Verdict is the answer of Admit.
type Verdict uint8

// The verdicts.
const (
	// Admitted lets the task wait.
	Admitted Verdict = iota
	// Full refuses it because too many tasks wait.
	Full
	// TooLate refuses it because it could not start in time.
	TooLate
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// shedShare is the part of the queue, as one in this many, that each
	// class below the highest gives up to the classes above it.
	shedShare = 4
)

// Admit says whether t may wait at now. A refusal comes with the time after
// which it is worth coming back, worked out from how fast the queue drains.
func (c *Cell) Admit(t *Task, now time.Duration) (Verdict, time.Duration) {
	wait := c.PredictedWait(t.Class, now)
	ahead := c.ahead(t.Class)
	if ahead >= c.queueLimit(t.Class) {
		return Full, clampRetry(wait)
	}
	if t.StartBy > 0 && now+wait > t.StartBy {
		return TooLate, clampRetry(wait)
	}
	return Admitted, 0
}

// queueLimit is lower for lower classes, so that they are shed first.
func (c *Cell) queueLimit(class Class) int {
	limit := c.Config.QueueLimit
	if limit == 0 {
		limit = DefaultQueueLimit
	}
	return limit - int(Urgent-class)*limit/shedShare
}

// ahead counts the waiting tasks of the class and above.
func (c *Cell) ahead(class Class) int {
	n := 0
	for k := class; k < numClasses; k++ {
		n += c.waiting[k].live
	}
	return n
}

// PredictedWait returns how long a task of the class would wait that came now:
// the tasks ahead of it over the rate at which such tasks finished of late.
func (c *Cell) PredictedWait(class Class, now time.Duration) time.Duration {
	n := c.ahead(class)
	if n == 0 {
		return 0
	}
	var perSecond float64
	for k := class; k < numClasses; k++ {
		perSecond += c.drained[k].at(now)
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
