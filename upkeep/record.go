// SPDX-License-Identifier: Apache-2.0

package upkeep

import (
	"slices"
	"time"
)

// Wave is what operators ask.
type Wave struct {
	// Bad says why what the operators' table holds asks for no wave, "" if it does.
	Bad      string
	Number   int
	Machines []string
	// Most is how many may be down for this wave at once, and Time how long all
	// should take.
	Most int
	Time time.Duration
	// Done says that the wave was reported as done.
	Done bool
}

// Machine is a machine as the platform lists it.
type Machine struct {
	Name string
	// Worker is the id of its worker: its present life.
	Worker string
	Rack   string
	// Up says that it neither moves nor has its upkeep nor is down.
	Up bool
}

// Slot is what a machine holds of a wave, or held.
type Slot struct {
	// Worker and Born name the life that was to end. Born is 0 if the worker did not say it.
	Worker string `json:"worker"`
	Born   int64  `json:"born,omitempty"`
	// Back says that another life has been seen under the same id since the upkeep began.
	Back bool `json:"back,omitempty"`
	// Begun says that the platform has begun the upkeep, or will not.
	Begun bool `json:"begun,omitempty"`
	// Unsure says that the order was given again to another life, so that the upkeep
	// may be over already: a later look at the list tells.
	Unsure bool `json:"unsure,omitempty"`
}

// Record is what is kept of a wave.
type Record map[string]Slot

// list is the platform's machines by name.
type list map[string]Machine

func index(all []Machine) list {
	l := make(list, len(all))
	for _, m := range all {
		l[m.Name] = m
	}
	return l
}

// remaining returns the machines that stay and whose upkeep is not known to have begun:
// first those that hold a slot.
func (b Record) remaining(w *Wave, all list) []Machine {
	var held, rest []Machine
	for _, name := range w.Machines {
		m, stays := all[name]
		e, has := b[name]
		switch {
		case !stays || e.Begun:
		case has:
			held = append(held, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(held, rest...)
}

// settled returns the machines of which a later look at the list tells that they had
// their upkeep before it was asked for again: they are up.
func (b Record) settled(all list) []string {
	var out []string
	for name, e := range b {
		if e.Unsure && all[name].Up {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// returned returns the machines whose worker is back under the id that it had. The list of machines
// may be of before the upkeep; life returns the life that a worker is known to have, and whether
// that is sure.
func (b Record) returned(all list, life func(worker string) (int64, bool)) []string {
	var out []string
	for name, e := range b {
		m := all[name]
		if !e.Begun || e.Back || !m.Up || m.Worker != e.Worker || e.Born == 0 {
			continue
		}
		if now, sure := life(m.Worker); sure && now != 0 && now != e.Born {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// slots returns how many more machines may go down.
func (b Record) slots(w *Wave, all list) int {
	free := w.Most
	for name, e := range b {
		m, stays := all[name]
		back := m.Up && (m.Worker != e.Worker || e.Back)
		if !e.Begun || (stays && !back) {
			free--
		}
	}
	return free
}

// next returns the machines to empty now, of those that are mine: all that hold a
// slot, and as many others as there are slots.
func (b Record) next(w *Wave, all list, mine func(rack string) bool) []Machine {
	var out []Machine
	free := b.slots(w, all)
	for _, m := range b.remaining(w, all) {
		_, has := b[m.Name]
		if !m.Up || !mine(m.Rack) || (!has && free <= 0) {
			continue
		}
		if !has {
			free--
		}
		out = append(out, m)
	}
	return out
}

const (
	patienceLeast = time.Second
	patienceMost  = 10 * time.Second
)

// patience is how long a machine is emptied before it goes: half of its share of the
// wave's time.
func (w *Wave) patience() time.Duration {
	turns := (len(w.Machines) + w.Most - 1) / max(w.Most, 1)
	return min(max(w.Time/time.Duration(2*max(turns, 1)), patienceLeast), patienceMost)
}
