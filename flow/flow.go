// SPDX-License-Identifier: Apache-2.0

package flow

import (
	"slices"
	"time"

	"dewpass.org/kind"
	"dewpass.org/sched"
)

// The bounds of a Spec.
const (
	MaxText  = 4000
	MaxSteps = 100
	MaxCount = 10_000
	MaxTimes = 1_000
	// MaxTasks bounds the tasks of all steps and times together.
	MaxTasks = 100_000
)

// State is the state of a job.
type State string

// The states of a job. The last three are final.
const (
	Pending   State = "pending"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Canceled  State = "canceled"
)

// Final reports whether a job in state s is over.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Canceled }

// End is how a run ended.
type End string

// The ends of a run.
const (
	// EndDone is the end of a run that did its work.
	EndDone End = "done"
	// EndFailed is a failure of the task's own or of the worker's. It counts as
	// an attempt.
	EndFailed End = "failed"
	// EndStopped is the end of a run that was told to stop.
	EndStopped End = "stopped"
	// EndLapsed is the end of a run whose lease was not renewed.
	EndLapsed End = "lapsed"
	// EndBroken is the end of a member of a gang of which another ended.
	EndBroken End = "broken"
	// EndAlone is the end of a member of a gang whose others did not come.
	EndAlone End = "alone"
)

// TaskID names a task of a job.
type TaskID struct {
	Job string
	// Time is the repetition, 0 for a job that is not repeated.
	Time, Step, Index int
}

// StepID names a step of a job at one of its times.
type StepID struct {
	Job        string
	Time, Step int
}

// Spec is a job as its submitter gave it. It does not change.
type Spec struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Account names the client account that handed it in, "" if none is known.
	Account string `json:"account,omitempty"`
	// Cell names the cell that has the job.
	Cell string `json:"cell,omitempty"`
	// Shares names further cells that run a part of its tasks each; see Share. Cell alone
	// says what becomes of the job.
	Shares []string `json:"shares,omitempty"`
	// Hall names the hall whose workers may be given tasks of the job without
	// anything being written first; "" is none.
	Hall  string `json:"hall,omitempty"`
	Text  string `json:"text,omitempty"`
	Steps []Step `json:"steps"`
	// Times is how often the steps run; 0 is once, at once.
	Times int `json:"times,omitempty"`
	// StartMS is when time 0 falls due, in milliseconds since 1970, and EveryMS
	// how long after it the next one does.
	StartMS int64 `json:"start_ms,omitempty"`
	EveryMS int64 `json:"every_ms,omitempty"`
	// AcceptedMS is when the job was accepted, in milliseconds since 1970.
	AcceptedMS int64 `json:"accepted_ms,omitempty"`
}

// Step is a number of equal tasks.
type Step struct {
	Count int `json:"count"`
	// Demand is what each task takes of its worker.
	Demand sched.Vec `json:"demand"`
	// EstimateMS is a rough guess of how long a task takes, in milliseconds.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After holds the numbers of the steps that must be done before.
	After []int `json:"after,omitempty"`
	// Needs is a label that the worker must have, "" for none.
	Needs string `json:"needs,omitempty"`
	// Near names the rack that holds the data, "" for none.
	Near string `json:"near,omitempty"`
	// PerWorker bounds how many of the step's tasks one worker carries; 0 is no
	// bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// TargetMS is the tail of answer times that a serving task must stay under.
	TargetMS int64 `json:"target_ms,omitempty"`
	// MayMiss is how many tasks of a lasting step may be away at once.
	MayMiss int `json:"may_miss,omitempty"`

	// Checkpoints says that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks work only all together.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang is slower when it is spread over racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Copies says that a task may run more than once at a time.
	Copies bool `json:"copies,omitempty"`
	// Lasting says that the tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Fills says that the tasks take only the processor time that others leave.
	Fills bool `json:"fills,omitempty"`
}

// Room returns what a task of s takes of its worker's room.
func (s *Step) Room() sched.Vec {
	v := s.Demand
	if s.Fills {
		v[sched.Milli] = 0
	}
	return v
}

// Estimate returns how long a task of s may take.
func (s *Step) Estimate() time.Duration {
	return time.Duration(max(s.EstimateMS, 1)) * time.Millisecond
}

// Cells returns the cells that run tasks of s, its own first.
func (s *Spec) Cells() []string { return append([]string{s.Cell}, s.Shares...) }

// Share is the part of a job's tasks that one cell runs. The zero value is all of them.
type Share struct {
	// At and Of say that it is those tasks of each step whose index is At modulo Of.
	At, Of int
}

// Share returns the part of s that a cell runs, and whether it runs any.
func (s *Spec) Share(cell string) (Share, bool) {
	at := slices.Index(s.Cells(), cell)
	return Share{At: at, Of: 1 + len(s.Shares)}, at >= 0
}

// Has reports whether the share has a task.
func (s Share) Has(index int) bool { return s.Of <= 1 || index%s.Of == s.At }

// Foreign reports whether another cell says what becomes of the job.
func (s Share) Foreign() bool { return s.Of > 1 && s.At > 0 }

// MayShare reports whether several cells may run s: its tasks have nothing to do with each
// other, and no end of theirs ends it.
func (s *Spec) MayShare() bool {
	return s.Times == 0 && !slices.ContainsFunc(s.Steps, func(st Step) bool {
		return !st.Lasting || st.Gang || len(st.After) > 0
	})
}

// Lasting reports whether any step of s lasts.
func (s *Spec) Lasting() bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Rounds returns how many times the steps run, at least 1.
func (s *Spec) Rounds() int { return max(s.Times, 1) }

// Due returns when time k of s falls due; the zero time is at once.
func (s *Spec) Due(k int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.StartMS + int64(k)*s.EveryMS)
}

// Work returns the estimate of all work of one time, in processor time.
func (s *Spec) Work() time.Duration {
	var sum time.Duration
	for i := range s.Steps {
		st := &s.Steps[i]
		if !st.Lasting {
			sum += st.Estimate() * time.Duration(st.Count) * time.Duration(st.Demand[sched.Milli]) / 1000
		}
	}
	return sum
}

// Chain returns the estimate of the longest chain of steps that begins with
// step from.
func (s *Spec) Chain(from int) time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= from; i-- {
		longest[i] += s.Steps[i].Estimate()
		for _, before := range s.Steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest[from]
}

// Check returns an error of kind BadRequest with the path of what is wrong with
// s, or nil.
func (s *Spec) Check() error {
	switch {
	case len(s.Text) > MaxText:
		return kind.At(kind.BadRequest, "/spec", "is too long")
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return kind.At(kind.BadRequest, "/steps", "must hold 1 to 100 steps")
	case s.Times < 0 || s.Times > MaxTimes:
		return kind.At(kind.BadRequest, "/times", "must be 0 to 1000")
	}
	cells := slices.Sorted(slices.Values(s.Cells()))
	if len(slices.Compact(cells)) != 1+len(s.Shares) {
		return kind.At(kind.BadRequest, "/shares", "must name other cells, each once")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count * s.Rounds()
	}
	if tasks > MaxTasks {
		return kind.At(kind.BadRequest, "/steps", "must hold at most 100000 tasks over all times")
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxCount {
		return kind.At(kind.BadRequest, "/steps/count", "must be 1 to 10000")
	}
	for d := range s.Demand {
		if s.Demand[d] < 0 {
			return kind.At(kind.BadRequest, "/steps/demand", "must not be negative")
		}
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return kind.At(kind.BadRequest, "/steps/after", "must name earlier steps")
		}
	}
	return nil
}
