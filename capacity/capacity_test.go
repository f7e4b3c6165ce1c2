// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"testing"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

func workers(classes ...Class) Workers {
	var w Workers
	for _, k := range classes {
		for i := range k.Workers {
			rack := "rack-" + string(rune('a'+i%3))
			w.Add(k.Pool, append([]string{rack}, k.Labels...), rack, k.Room)
		}
	}
	return w
}

func cpu(milli int64) sched.Vec { return sched.Vec{sched.MilliCPU: milli} }

// A job waits for ever in a cell whose workers cannot run it.
func TestCanRun(t *testing.T) {
	small := workers(Class{Pool: "p", Labels: []string{"x"}, Room: cpu(4000), Workers: 3})
	mixed := workers(Class{Pool: "p", Room: cpu(4000), Workers: 2}, Class{Pool: "p", Room: cpu(8000), Workers: 1}, Class{Pool: "q", Room: cpu(64000), Workers: 9})
	for _, c := range []struct {
		name string
		w    Workers
		step flow.Step
		want bool
	}{
		{"a task that fits", small, flow.Step{Count: 100, Demand: cpu(4000)}, true},
		{"another pool only", workers(Class{Pool: "q", Room: cpu(4000), Workers: 1}), flow.Step{Count: 1}, false},
		{"no workers", nil, flow.Step{Count: 1}, false},
		{"the label", small, flow.Step{Count: 1, RequiredLabel: "x"}, true},
		{"another label", small, flow.Step{Count: 1, RequiredLabel: "y"}, false},
		{"too large", small, flow.Step{Count: 1, Demand: cpu(4001)}, false},
		{"idle processor time is not reserved", small, flow.Step{Count: 1, Demand: cpu(4001), IdleCPUOnly: true}, true},
		{"a gang that fits", mixed, flow.Step{Count: 4, Gang: true, Demand: cpu(4000)}, true},
		{"a gang that is too wide", mixed, flow.Step{Count: 5, Gang: true, Demand: cpu(4000)}, false},
		{"a gang with one task a worker", mixed, flow.Step{Count: 4, Gang: true, Demand: cpu(4000), MaxPerWorker: 1}, false},
		{"a gang that needs nothing", mixed, flow.Step{Count: 500, Gang: true}, true},
	} {
		if got := c.w.CanRun(&c.step, "p", false); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestFit(t *testing.T) {
	w := workers(Class{Pool: "p", Labels: []string{"x"}, Room: cpu(4000), Workers: 1})
	here, there := flow.Step{Count: 1, RequiredLabel: "x"}, flow.Step{Count: 1, RequiredLabel: "y"}
	after := func(s flow.Step, before ...int) flow.Step { s.DependsOn = before; return s }
	for _, c := range []struct {
		name  string
		steps []flow.Step
		done  []bool
		want  Fit
	}{
		{"all steps", []flow.Step{here, after(here, 0)}, nil, All},
		{"the first step", []flow.Step{here, after(there, 0)}, nil, Next},
		{"one of two first steps", []flow.Step{there, here}, nil, Next},
		{"only a later step", []flow.Step{there, after(here, 0)}, nil, None},
		{"the step that is left", []flow.Step{there, after(here, 0)}, []bool{true, false}, All},
		{"not the step that is left", []flow.Step{here, after(there, 0)}, []bool{true, false}, None},
	} {
		if got := w.Fit(Job{Spec: &flow.Spec{Steps: c.steps}, Pool: "p", Done: c.done}, nil); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestFitOfRackLabel(t *testing.T) {
	w := workers(Class{Pool: "p", Room: cpu(4000), Workers: 1})
	j := Job{Spec: &flow.Spec{Steps: []flow.Step{{Count: 1, RequiredLabel: "rack-a"}}}, Pool: "p"}
	if got := w.Fit(j, nil); got != None {
		t.Errorf("a label that no worker has: %v", got)
	}
	if got := w.Fit(j, []string{"rack-a"}); got != All {
		t.Errorf("a rack of the cell: %v", got)
	}
}

func TestSameClasses(t *testing.T) {
	one := Class{Pool: "p", Labels: []string{"x"}, Room: cpu(4000), Workers: 1}
	two := one
	two.Workers = 2
	if !workers(one).SameClasses(workers(two)) {
		t.Error("the number of workers counts")
	}
	two.Labels = nil
	if workers(one).SameClasses(workers(two)) {
		t.Error("the labels do not count")
	}
}
