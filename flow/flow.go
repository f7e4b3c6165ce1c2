// SPDX-License-Identifier: Apache-2.0

package flow

import (
	"slices"
	"time"

	"dewpass.org/kind"
	"dewpass.org/sched"
)

// The limits of a Spec.
const (
	MaxText        = 4000
	MaxSteps       = 100
	MaxCount       = 10_000
	MaxRepeatCount = 1_000
	// MaxTasks bounds the number of tasks over all steps and repetitions.
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

// Moving is the state in the record of a job that its cell has given up for another one. Clients are
// shown the state before it. Builds that do not know it leave the job alone, as its record is not
// readable to them.
const Moving State = "moving"

// Final reports whether a job in state s has ended.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Canceled }

// End is how a run ended.
type End string

// The ways in which a run ends.
const (
	// EndDone: the run completed its work.
	EndDone End = "done"
	// EndFailed: the task or its worker failed. This counts as an attempt.
	EndFailed End = "failed"
	// EndStopped: the run was ordered to stop.
	EndStopped End = "stopped"
	// EndLeaseExpired: the lease of the run expired without renewal.
	EndLeaseExpired End = "lapsed"
	// EndGangBroken: another member of the gang ended.
	EndGangBroken End = "broken"
	// EndGangIncomplete: the other members of the gang did not start.
	EndGangIncomplete End = "alone"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job string
	// Round is the number of the repetition, 0 for a job that is not repeated.
	Round, Step, Index int
}

// StepID identifies a step of a job in one repetition.
type StepID struct {
	Job         string
	Round, Step int
}

// Spec is a job as it was submitted. It is immutable.
type Spec struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Account names the client account that submitted the job, "" if it is unknown.
	Account string `json:"account,omitempty"`
	// Cell names the cell that owns the job.
	Cell string `json:"cell,omitempty"`
	// Shares names the other cells that each run a part of the tasks; see Share. Only Cell
	// decides the state of the job.
	Shares []string `json:"shares,omitempty"`
	// Hall names the hall on whose workers tasks may be started without recording the
	// hall first; "" is none.
	Hall  string `json:"hall,omitempty"`
	Text  string `json:"text,omitempty"`
	Steps []Step `json:"steps"`
	// RepeatCount is how often the steps are run; 0 means once and immediately.
	RepeatCount int `json:"times,omitempty"`
	// StartMS is when the first repetition becomes due, in milliseconds since 1970, and EveryMS
	// the interval between repetitions.
	StartMS int64 `json:"start_ms,omitempty"`
	EveryMS int64 `json:"every_ms,omitempty"`
	// AcceptedMS is when the job was accepted, in milliseconds since 1970.
	AcceptedMS int64 `json:"accepted_ms,omitempty"`
	// Moves counts how often the job was moved to another cell. The fields after it are those of a
	// moved job.
	Moves int `json:"moves,omitempty"`
	// RefusedIn names the former cells that have workers for the job, none of which its policy permits.
	RefusedIn []string `json:"refused_in,omitempty"`
	// RunsBelow is added to the numbers of the job's runs, so that they are above all numbers given in
	// its former cells.
	RunsBelow int `json:"runs_below,omitempty"`
	// Progress is what was done in the former cells. It holds until the cell has a record of its own.
	Progress *Record `json:"progress,omitempty"`
}

// Step is a number of equal tasks.
type Step struct {
	Count int `json:"count"`
	// Demand is what each task requires of its worker.
	Demand sched.Vec `json:"demand"`
	// EstimateMS is the roughly estimated run time of a task, in milliseconds.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// DependsOn lists the numbers of the steps that must be done before this one starts.
	DependsOn []int `json:"after,omitempty"`
	// RequiredLabel is a label that the worker must have, "" for any worker.
	RequiredLabel string `json:"needs,omitempty"`
	// PreferredRack names the preferred rack, which holds the data; "" for none.
	PreferredRack string `json:"near,omitempty"`
	// MaxPerWorker bounds how many tasks of the step may run on one worker; 0 is no limit.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Image names the image that the tasks run.
	Image string `json:"image,omitempty"`
	// TargetMS is the upper limit of the tail latency of a serving task, in milliseconds.
	TargetMS int64 `json:"target_ms,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be unavailable at the same
	// time.
	MaxUnavailable int `json:"may_miss,omitempty"`

	// Checkpoints says that the tasks save checkpoints.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang runs slower when it is spread over several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Speculative says that a task may have several runs at the same time.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// IdleCPUOnly says that the tasks use only processor time that other tasks leave idle.
	IdleCPUOnly bool `json:"fills,omitempty"`
}

// Reservation returns the resources that a task of s reserves on its worker. A task with
// IdleCPUOnly reserves no processor time.
func (s *Step) Reservation() sched.Vec {
	v := s.Demand
	if s.IdleCPUOnly {
		v[sched.MilliCPU] = 0
	}
	return v
}

// Dependencies returns the numbers of the steps that must be done before s starts, each once.
func (s *Step) Dependencies() []int {
	return slices.Compact(slices.Sorted(slices.Values(s.DependsOn)))
}

// Estimate returns the estimated run time of a task of s, at least 1 ms.
func (s *Step) Estimate() time.Duration {
	return time.Duration(max(s.EstimateMS, 1)) * time.Millisecond
}

// Cells returns the cells that run tasks of s, the owning cell first.
func (s *Spec) Cells() []string { return append([]string{s.Cell}, s.Shares...) }

// Share is the subset of the tasks of a job that one cell runs. The zero value contains all
// tasks.
type Share struct {
	// The subset contains the tasks of each step whose index modulo Count is Index.
	Index, Count int
}

// Share returns the share of a cell, and whether the cell runs any tasks of s.
func (s *Spec) Share(cell string) (Share, bool) {
	at := slices.Index(s.Cells(), cell)
	return Share{Index: at, Count: 1 + len(s.Shares)}, at >= 0
}

// Contains reports whether the share contains the task with the given index.
func (s Share) Contains(index int) bool { return s.Count <= 1 || index%s.Count == s.Index }

// OwnedElsewhere reports whether another cell owns the job and decides its state.
func (s Share) OwnedElsewhere() bool { return s.Count > 1 && s.Index > 0 }

// Shareable reports whether the tasks of s may be split among several cells. This is the case if
// the tasks are independent and none of them can end the job.
func (s *Spec) Shareable() bool {
	return s.RepeatCount == 0 && !slices.ContainsFunc(s.Steps, func(st Step) bool {
		return !st.LongRunning || st.Gang || len(st.DependsOn) > 0
	})
}

// HasLongRunning reports whether s has a long-running step.
func (s *Spec) HasLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Rounds returns how many times the steps are run, at least 1.
func (s *Spec) Rounds() int { return max(s.RepeatCount, 1) }

// Due returns when repetition k of s becomes due; the zero time means immediately.
func (s *Spec) Due(k int) time.Time {
	if s.RepeatCount == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.StartMS + int64(k)*s.EveryMS)
}

// EstimatedWork returns the estimated processor time of one repetition, without long-running
// steps.
func (s *Spec) EstimatedWork() time.Duration {
	var sum time.Duration
	for i := range s.Steps {
		st := &s.Steps[i]
		if !st.LongRunning {
			sum += st.Estimate() * time.Duration(st.Count) * time.Duration(st.Demand[sched.MilliCPU]) / 1000
		}
	}
	return sum
}

// CriticalPath returns the estimated length of the critical path that begins with step from.
func (s *Spec) CriticalPath(from int) time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= from; i-- {
		longest[i] += s.Steps[i].Estimate()
		for _, before := range s.Steps[i].DependsOn {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest[from]
}

// Check validates s. The error is of kind BadRequest and has the path of the invalid field.
func (s *Spec) Check() error {
	switch {
	case len(s.Text) > MaxText:
		return kind.At(kind.BadRequest, "/spec", "is too long")
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return kind.At(kind.BadRequest, "/steps", "must hold 1 to 100 steps")
	case s.RepeatCount < 0 || s.RepeatCount > MaxRepeatCount:
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
	for _, before := range s.DependsOn {
		if before < 0 || before >= number {
			return kind.At(kind.BadRequest, "/steps/after", "must name earlier steps")
		}
	}
	return nil
}
