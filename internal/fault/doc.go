// SPDX-License-Identifier: Apache-2.0

// Package fault names the points at which tests bring failures about.
//
// In the shipped binary At and Link are empty functions that the compiler
// removes. A binary built with the tag "faults" looks a table up at each: a
// point may hold the step up, end the process, or fail; a link may be cut, slow,
// or lose what comes back; the clock may run fast or slow. Tests change the
// table over HTTP; see Handler.
package fault

// Point is a step of the program.
type Point string

// The points.
const (
	Admitted      Point = "admitted"
	IntentWritten Point = "intent-written"
	Placed        Point = "placed"
	Sent          Point = "sent"
	Accepted      Point = "accepted"
	Running       Point = "running"
	Checkpointed  Point = "checkpointed"
	Finished      Point = "finished"
	Answering     Point = "answering"
	LeaseTaken    Point = "lease-taken"
	Attached      Point = "attached"
	Renewed       Point = "renewed"
	HandedOver    Point = "handed-over"
	EditChecked   Point = "edit-checked"
	EditWritten   Point = "edit-written"
	EditSpread    Point = "edit-spread"
	EditInstalled Point = "edit-installed"
)

// Points lists every point.
var Points = []Point{
	Admitted, IntentWritten, Placed, Sent, Accepted, Running, Checkpointed,
	Finished, Answering, LeaseTaken, Attached, Renewed, HandedOver,
	EditChecked, EditWritten, EditSpread, EditInstalled,
}
