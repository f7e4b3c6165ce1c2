// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Class is a number of workers of one pool that have the same labels and the same size.
type Class struct {
	Pool string
	// Labels are sorted. Those in a report to other instances do not include the rack.
	Labels  []string
	Room    sched.Vec
	Workers int
}

// Workers are the workers of a cell.
type Workers []Class

// Add adds a worker, without the label that names its rack if that is given.
func (w *Workers) Add(pool string, labels []string, rack string, room sched.Vec) {
	own := slices.DeleteFunc(slices.Clone(labels), func(l string) bool { return l == rack })
	slices.Sort(own)
	k := Class{Pool: pool, Labels: slices.Compact(own), Room: room, Workers: 1}
	at, found := slices.BinarySearchFunc(*w, k, compareClasses)
	if found {
		(*w)[at].Workers++
		return
	}
	*w = slices.Insert(*w, at, k)
}

func compareClasses(a, b Class) int {
	return cmp.Or(strings.Compare(a.Pool, b.Pool), slices.Compare(a.Labels, b.Labels), slices.Compare(a.Room[:], b.Room[:]))
}

// SameClasses reports whether w and o have the same classes, whatever the numbers of their workers.
func (w Workers) SameClasses(o Workers) bool {
	return slices.EqualFunc(w, o, func(a, b Class) bool { return compareClasses(a, b) == 0 })
}

// CanRun reports whether the workers can run tasks of a step that belongs to a pool: one of them, or all
// of a gang together. labeled is true if they have the required label although no class lists it.
func (w Workers) CanRun(step *flow.Step, pool string, labeled bool) bool {
	need := int64(1)
	if step.Gang {
		need = int64(step.Count)
	}
	for i := range w {
		if k := &w[i]; k.Pool == pool && (labeled || k.hasLabel(step.RequiredLabel)) {
			need -= k.places(step)
		}
	}
	return need <= 0
}

func (k *Class) hasLabel(label string) bool { return label == "" || slices.Contains(k.Labels, label) }

// HasLabel reports whether a class lists a label.
func (w Workers) HasLabel(label string) bool {
	return slices.ContainsFunc(w, func(k Class) bool { return k.hasLabel(label) })
}

// places returns how many tasks of a step the empty workers of k hold together.
func (k *Class) places(step *flow.Step) int64 {
	each := int64(step.Count)
	if step.MaxPerWorker > 0 {
		each = min(each, int64(step.MaxPerWorker))
	}
	for d, need := range step.Reservation() {
		if need > 0 {
			each = min(each, k.Room[d]/need)
		}
	}
	return min(each, math.MaxInt32) * int64(k.Workers)
}

// Fit says how well the workers of a cell suit a job.
type Fit uint8

const (
	// None: no task of the job can run there now.
	None Fit = iota
	// Next: some step that may begin now can run there, but not all that are left.
	Next
	// All: all steps that are left can run there. It also stands for a cell whose workers are not known.
	All
)

// Job is what the choice of a cell depends on.
type Job struct {
	Spec *flow.Spec
	// Pool is that of the job's queue.
	Pool string
	// Done holds the steps that are done, nil if none is.
	Done []bool
}

// Labels returns the labels that steps of the job require.
func (j *Job) Labels() []string {
	var out []string
	for i := range j.Spec.Steps {
		if l := j.Spec.Steps[i].RequiredLabel; l != "" && !slices.Contains(out, l) {
			out = append(out, l)
		}
	}
	return out
}

// Fit returns how well the workers suit a job. racks are the required labels that name racks of the cell.
func (w Workers) Fit(j Job, racks []string) Fit {
	fit := None
	all := true
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		switch {
		case j.done(i):
		case !w.CanRun(step, j.Pool, slices.Contains(racks, step.RequiredLabel)):
			all = false
		case j.mayBegin(step):
			fit = Next
		}
	}
	if all {
		return All
	}
	return fit
}

func (j *Job) done(step int) bool { return step < len(j.Done) && j.Done[step] }

// mayBegin reports whether the steps before a step are done.
func (j *Job) mayBegin(step *flow.Step) bool {
	return !slices.ContainsFunc(step.DependsOn, func(before int) bool { return !j.done(before) })
}
