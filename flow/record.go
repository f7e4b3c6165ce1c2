// SPDX-License-Identifier: Apache-2.0

package flow

import (
	"encoding/json"
	"math/bits"
	"slices"
	"strconv"

	"dewpass.org/internal/pack"
	"dewpass.org/kind"
)

const (
	// MaxRecordBytes is the size of the largest record that the store takes.
	MaxRecordBytes = 64 << 10
	// compressFrom is the size in bytes from which a record is compressed. Shorter ones stay readable
	// to operators and to earlier versions.
	compressFrom = 48 << 10
)

// Record is the durable state of a job beside its Spec.
type Record struct {
	State State `json:"state"`
	// Canceled says that the job was cancelled; no more of its tasks are started.
	Canceled bool `json:"cancelled,omitempty"`
	// To names the cell to which the job is being moved, and Was its state before, if State is Moving.
	To  string `json:"to,omitempty"`
	Was State  `json:"was,omitempty"`
	// Moves is that of the Spec. A record with a lower number was left in a former cell.
	Moves int `json:"moves,omitempty"`
	// Halls names halls as those of each StageRecord, for all steps together. It takes their place in
	// a record that would be too long with them.
	Halls []string `json:"halls,omitempty"`
	// Stages holds one entry for each step of each repetition, ordered by repetition.
	Stages []StageRecord `json:"stages,omitempty"`
}

// StageRecord is the record of one step in one repetition.
type StageRecord struct {
	// Halls names the halls, beside that of the Spec, on whose workers tasks may have been
	// started.
	Halls []string `json:"halls,omitempty"`
	// Done holds the indexes of the tasks that are done.
	Done BitSet `json:"done,omitempty"`
	// FailedRuns holds the numbers of the failed runs, by the index of the task. The numbers make
	// counting idempotent: a worker may report the same end again to the next owner.
	FailedRuns map[int][]int `json:"fails,omitempty"`
	// Crashes holds the runs that were lost with their workers and may have caused the loss, by
	// the index of the task.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
	// Starts holds the runs that may have been started and are not known to have ended, by the index
	// of the task. The first start of a task is not recorded: it is made without waiting for the
	// store.
	Starts map[int][]RunStart `json:"starts,omitempty"`
	// Checkpoints holds the newest checkpoint of each task that waits or has Starts, by its index.
	Checkpoints map[int]string `json:"saved,omitempty"`
}

// HallsOf returns the halls of the step at an index of Stages.
func (r *Record) HallsOf(at int) []string { return slices.Concat(r.Stages[at].Halls, r.Halls) }

// TasksDone returns the number of tasks that the record says are done.
func (r *Record) TasksDone() int {
	n := 0
	for i := range r.Stages {
		n += r.Stages[i].Done.Count()
	}
	return n
}

// Names reports whether s has starts, losses or failures of the task with an index.
func (s *StageRecord) Names(index int) bool {
	return len(s.Starts[index])+len(s.Crashes[index])+len(s.FailedRuns[index]) > 0
}

// FinalRecord is the record of a job that has ended, kept until the job is forgotten.
type FinalRecord struct {
	State State `json:"state"`
	// Cell names the cell that owned the job.
	Cell string `json:"cell"`
	// AtMS is when the record was written, in milliseconds since 1970.
	AtMS int64 `json:"at_ms"`
	// Withdrawn says that the job was cancelled before it was accepted. Clients are shown no such job.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// DecodeFinalRecord decodes and validates the row of a FinalRecord.
func DecodeFinalRecord(raw []byte) (*FinalRecord, error) {
	e := new(FinalRecord)
	if err := json.Unmarshal(raw, e); err != nil {
		return e, err
	}
	if !e.State.Final() {
		return e, kind.New(kind.Damaged, "job is recorded as ended in state "+strconv.Quote(string(e.State)))
	}
	return e, nil
}

// BitSet is a set of small non-negative integers, stored as a bit map. The zero value is empty.
type BitSet []byte

// Set adds i to b.
func (b *BitSet) Set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

// Has reports whether i is in b.
func (b BitSet) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Count returns the number of integers in b.
func (b BitSet) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// Encode returns the stored representation of v.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		// Specs and records contain only values that can be marshalled.
		panic(err)
	}
	return raw
}

// Shown returns the state of the job as clients may see it.
func (r *Record) Shown() State {
	if r.State == Moving {
		return r.Was
	}
	return r.State
}

// movedSpec is the stored form of a Spec that was moved. Builds that do not know of moves cannot decode
// it and leave the job alone: they would start again what was done in its former cells.
type movedSpec struct {
	Moved *Spec `json:"moved,omitempty"`
}

// EncodeSpec returns the stored representation of s. That of a moved job may be longer than
// MaxRecordBytes.
func EncodeSpec(s *Spec) []byte {
	if s.Moves == 0 {
		return Encode(s)
	}
	raw := Encode(movedSpec{Moved: s})
	if len(raw) < compressFrom {
		return raw
	}
	return pack.Compress(raw)
}

// DecodeSpec decodes and validates the row of a Spec.
func DecodeSpec(raw []byte) (*Spec, error) {
	var moved movedSpec
	raw, err := pack.Decompress(raw)
	if err != nil {
		return new(Spec), err
	}
	if err := json.Unmarshal(raw, &moved); err == nil && moved.Moved != nil {
		return moved.Moved, moved.Moved.Check()
	}
	s := new(Spec)
	if err := json.Unmarshal(raw, s); err != nil {
		return s, err
	}
	return s, s.Check()
}

// EncodeRecord returns the stored representation of r, which is compressed if it is long. It may be
// longer than MaxRecordBytes.
func EncodeRecord(r *Record) []byte {
	raw := Encode(r)
	if len(raw) < compressFrom {
		return raw
	}
	return pack.Compress(raw)
}

// DecodeRecord decodes and validates the row of a Record.
func DecodeRecord(raw []byte) (*Record, error) {
	r := new(Record)
	raw, err := pack.Decompress(raw)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(raw, r); err != nil {
		return r, err
	}
	if r.State == Moving && (r.To == "" || r.Was != Pending && r.Was != Running) {
		return r, kind.New(kind.Damaged, "job record that names no cell to move to")
	}
	if !r.State.Final() && r.State != Pending && r.State != Running && r.State != Moving {
		return r, kind.New(kind.Damaged, "job record with unknown state "+strconv.Quote(string(r.State)))
	}
	return r, nil
}
