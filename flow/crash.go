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
	// Inherited says that Run is not the number of a run that was observed: the worker was lost
	// during a change of owner, and it is unknown what the former owner had started there.
	Inherited bool `json:"inherited,omitempty"`
}
