// SPDX-License-Identifier: Apache-2.0

package upkeep

import (
	"slices"
	"time"
)

// Wave is a maintenance wave as the operators request it.
type Wave struct {
	// Bad says why the row of the wave is invalid, "" if it is valid.
	Bad      string
	Number   int
	Machines []string
	// MaxDown is how many machines may be down at once for this wave, and Duration how long the
	// whole wave should take.
	MaxDown  int
	Duration time.Duration
	// Done says that the wave was reported as done.
	Done bool
}

// Machine is a machine as the platform lists it.
type Machine struct {
	Name string
	// Worker is the id of the worker that the machine currently runs.
	Worker string
	Rack   string
	// Up says that the machine is running: it is not down, being moved or in its upkeep.
	Up bool
}

// Slot is the state of a machine in a wave.
type Slot struct {
	// Worker and Born identify the incarnation of the worker that the upkeep ends: until it has
	// begun, the one that the first order found. Born is its start time, 0 if it is unknown.
	Worker string `json:"worker"`
	Born   int64  `json:"born,omitempty"`
	// Returned says that another incarnation with the same worker id was seen after the upkeep
	// had begun.
	Returned bool `json:"back,omitempty"`
	// Begun says that the platform has begun the upkeep, or never will.
	Begun bool `json:"begun,omitempty"`
	// Unconfirmed says that the order was repeated while another incarnation was running, so that
	// the upkeep may have been over already. A later list of machines resolves this.
	Unconfirmed bool `json:"unsure,omitempty"`
}

// Record is the stored state of a wave: the slots by the name of the machine.
type Record map[string]Slot

// machinesByName holds the platform's machines by their names.
type machinesByName map[string]Machine

func indexByName(all []Machine) machinesByName {
	l := make(machinesByName, len(all))
	for _, m := range all {
		l[m.Name] = m
	}
	return l
}

// remaining returns the machines that still exist and whose upkeep is not known to have begun.
// Those that already have a slot come first.
func (r Record) remaining(w *Wave, all machinesByName) []Machine {
	var held, rest []Machine
	for _, name := range w.Machines {
		m, exists := all[name]
		slot, hasSlot := r[name]
		switch {
		case !exists || slot.Begun:
		case hasSlot:
			held = append(held, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(held, rest...)
}

// confirmedDone returns the machines with an Unconfirmed slot that are up in a later list, which
// shows that their upkeep was over before it was ordered again.
func (r Record) confirmedDone(all machinesByName) []string {
	var out []string
	for name, slot := range r {
		if slot.Unconfirmed && all[name].Up {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// returned returns the machines whose worker is back under the same id. As the list of machines
// may be older than the upkeep, the start time of the worker decides: incarnation returns the
// newest one that is known, and whether that incarnation is certainly present.
func (r Record) returned(all machinesByName, incarnation func(worker string) (int64, bool)) []string {
	var out []string
	for name, slot := range r {
		m := all[name]
		if !slot.Begun || slot.Returned || !m.Up || m.Worker != slot.Worker || slot.Born == 0 {
			continue
		}
		if now, sure := incarnation(m.Worker); sure && now != 0 && now != slot.Born {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// freeSlots returns how many more machines may be taken down.
func (r Record) freeSlots(w *Wave, all machinesByName) int {
	free := w.MaxDown
	for name, slot := range r {
		m, exists := all[name]
		back := slot.Begun && m.Up && (m.Worker != slot.Worker || slot.Returned)
		if exists && !back {
			free--
		}
	}
	return free
}

// nextToEvacuate returns the machines of this cell to evacuate now: those that already have a slot,
// and as many others as there are free slots.
func (r Record) nextToEvacuate(w *Wave, all machinesByName, mine func(rack string) bool) []Machine {
	var out []Machine
	free := r.freeSlots(w, all)
	for _, m := range r.remaining(w, all) {
		_, hasSlot := r[m.Name]
		if !m.Up || !mine(m.Rack) || (!hasSlot && free <= 0) {
			continue
		}
		if !hasSlot {
			free--
		}
		out = append(out, m)
	}
	return out
}

const (
	minEvacuationTime = time.Second
	maxEvacuationTime = 10 * time.Second
)

// evacuationTime returns how long the evacuation of one worker may take: half of its machine's
// share of the wave's time.
func (w *Wave) evacuationTime() time.Duration {
	turns := (len(w.Machines) + w.MaxDown - 1) / max(w.MaxDown, 1)
	return min(max(w.Duration/time.Duration(2*max(turns, 1)), minEvacuationTime), maxEvacuationTime)
}
