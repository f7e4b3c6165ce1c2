// SPDX-License-Identifier: Apache-2.0

package flow

// Blame says how likely a run is what ended its worker's process.
type Blame string

// How a run is blamed for the loss of its worker.
const (
	// BlameBeside: something else explains the loss better.
	BlameBeside Blame = "beside"
	// BlameShared: it is one of several runs that may have done it.
	BlameShared Blame = "shared"
	// BlameSole: it is the only run that may have done it.
	BlameSole Blame = "sole"
)

// Crash is a run that was lost with its worker. Runs are told apart by their numbers, so that
// a loss counts once whoever sees it.
type Crash struct {
	Run   int   `json:"run"`
	Blame Blame `json:"blame"`
	// AgeMS is how long the run had gone on by then, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Inherited says that the number is that of no run: a worker was lost while the owner
	// changed, and what the former owner may have started there is not known.
	Inherited bool `json:"inherited,omitempty"`
}
