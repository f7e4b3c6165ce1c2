// SPDX-License-Identifier: Apache-2.0

package fault

// Point names a step of the program.
type Point string

// The steps at which a failure can be injected.
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

// Points lists all points.
var Points = []Point{
	Admitted, IntentWritten, Placed, Sent, Accepted, Running, Checkpointed,
	Finished, Answering, LeaseTaken, Attached, Renewed, HandedOver,
	EditChecked, EditWritten, EditSpread, EditInstalled,
}
