// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// Verdict is the result of an admission check.
type Verdict uint8

const (
	// Admitted means that the task may be queued.
	Admitted Verdict = iota
	// QueueFull means that the queue limit for the task's class is reached.
	QueueFull
	// TooLate means that the task could not start before its StartBy time.
	TooLate
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// shedDivisor sets the part of the queue that each class below the highest leaves to the
	// classes above it: 1/shedDivisor of the limit.
	shedDivisor = 4
)

// Admit reports whether t may be queued at the time now. A refusal comes with a retry delay,
// which is predicted from the rate at which queued tasks finish.
func (c *Cell) Admit(t *Task, now time.Duration) (Verdict, time.Duration) {
	wait := c.PredictedWait(t.Class, now)
	ahead := c.waitingAhead(t.Class)
	if ahead >= c.queueLimit(t.Class) {
		return QueueFull, clampRetryAfter(wait)
	}
	if t.StartBy > 0 && now+wait > t.StartBy {
		return TooLate, clampRetryAfter(wait)
	}
	return Admitted, 0
}

// queueLimit returns the queue length up to which tasks of a class are admitted. It is lower
// for lower classes, so that they are refused first.
func (c *Cell) queueLimit(class Class) int {
	limit := c.Config.QueueLimit
	if limit == 0 {
		limit = DefaultQueueLimit
	}
	return limit - int(Urgent-class)*limit/shedDivisor
}

// waitingAhead counts the waiting tasks of the given class and of higher ones.
func (c *Cell) waitingAhead(class Class) int {
	n := 0
	for k := class; k < numClasses; k++ {
		n += c.waiting[k].liveCount
	}
	return n
}

// PredictedWait returns how long a task of the class would wait if it were queued now: the
// number of tasks ahead of it over the recent rate at which such tasks finished.
func (c *Cell) PredictedWait(class Class, now time.Duration) time.Duration {
	n := c.waitingAhead(class)
	if n == 0 {
		return 0
	}
	var perSecond float64
	for k := class; k < numClasses; k++ {
		perSecond += c.finishRate[k].at(now)
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
