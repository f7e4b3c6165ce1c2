// SPDX-License-Identifier: Apache-2.0

package flow

// Blame says how likely it is that a run crashed its worker.
type Blame string

// The levels of Blame, lowest first.
const (
	// BlameUnlikely says that something else is a more likely cause.
	BlameUnlikely Blame = "beside"
	// BlameShared says that several runs are equally likely causes.
	BlameShared Blame = "shared"
	// BlameSole says that no other run is a possible cause.
	BlameSole Blame = "sole"
)

// Crash is a run that was lost together with its worker. It is identified by the number of the
// run, so that a loss is counted once even if several owners record it.
type Crash struct {
	Run   int   `json:"run"`
	Blame Blame `json:"blame"`
	// AgeMS is how long the run had been running, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Inherited says that the worker was lost during a change of owner, so that the age of the run is
	// not known.
	Inherited bool `json:"inherited,omitempty"`
}

// RunStart is a run of a task and the worker that was to start it.
type RunStart struct {
	Run    int    `json:"run"`
	Worker string `json:"worker"`
	// Born identifies the incarnation of the worker, 0 if it was not known.
	Born int64 `json:"born,omitempty"`
}
