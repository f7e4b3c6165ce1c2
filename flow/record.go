// SPDX-License-Identifier: Apache-2.0

package flow

import (
	"encoding/json"
	"strconv"

	"dewpass.org/kind"
)

// Record is what must last of a job beside its Spec.
type Record struct {
	State State `json:"state"`
	// Cancelled says that the job was cancelled; nothing of it starts any more.
	Cancelled bool `json:"cancelled,omitempty"`
	// Stages holds one entry for each time and step, times outermost.
	Stages []StageRecord `json:"stages,omitempty"`
}

// StageRecord is the record of one step at one time.
type StageRecord struct {
	// Halls names the halls, beside that of the Spec, on whose workers tasks may
	// have been started.
	Halls []string `json:"halls,omitempty"`
	// Done marks the tasks that are done, by their index.
	Done Bits `json:"done,omitempty"`
	// Fails holds the numbers of the runs that failed, by the index of the
	// task. Numbers, because an end may be listed again to the next owner.
	Fails map[int][]int `json:"fails,omitempty"`
	// Crashes holds the runs that were lost with their workers, of tasks that may have
	// caused it, by the index of the task.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
	// Saved holds the newest checkpoint of tasks that wait, by their index.
	Saved map[int]string `json:"saved,omitempty"`
}

// Ended is what is left of a job that is over, until it is forgotten.
type Ended struct {
	State State `json:"state"`
	// Cell names the cell that had the job.
	Cell string `json:"cell"`
	// AtMS is when that was written down, in milliseconds since 1970.
	AtMS int64 `json:"at_ms"`
}

// DecodeEnded reads the row of an Ended.
func DecodeEnded(raw []byte) (*Ended, error) {
	e := new(Ended)
	if err := json.Unmarshal(raw, e); err != nil {
		return e, err
	}
	if !e.State.Final() {
		return e, kind.New(kind.Damaged, "an end with state "+strconv.Quote(string(e.State)))
	}
	return e, nil
}

// Bits is a set of small numbers. Its zero value is empty.
type Bits []byte

// Set adds i.
func (b *Bits) Set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

// Has reports whether i is in b.
func (b Bits) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Encode returns v as a row keeps it.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		// Specs and records hold only plain values.
		panic(err)
	}
	return raw
}

// DecodeSpec reads the row of a Spec.
func DecodeSpec(raw []byte) (*Spec, error) {
	s := new(Spec)
	if err := json.Unmarshal(raw, s); err != nil {
		return s, err
	}
	return s, s.Check()
}

// DecodeRecord reads the row of a Record.
func DecodeRecord(raw []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(raw, r); err != nil {
		return r, err
	}
	if !r.State.Final() && r.State != Pending && r.State != Running {
		return r, kind.New(kind.Damaged, "a record with state "+strconv.Quote(string(r.State)))
	}
	return r, nil
}
