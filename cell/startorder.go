// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"dewpass.org/flow"
)

// Start is an order to start a run.
type Start struct {
	Worker, Addr string
	Task         flow.TaskID
	Run          int
	Text         string
	Checkpoint   string
	Ticket       string
	// Recorded means that the store had to have the start before, and Waited is how long that took.
	Recorded bool
	Waited   time.Duration
}

// startOverheadBytes is the approximate size of an order to start a run without its texts: names,
// fencing tokens and headers.
const startOverheadBytes = 450

// Size returns the approximate size of the order on the wire, in bytes.
func (s *Start) Size() int {
	return startOverheadBytes + len(s.Text) + len(s.Checkpoint) + len(s.Ticket)
}

// sendSize returns the approximate number of bytes that a start takes of this instance's link.
func (c *Cell) sendSize(start *Start) int {
	if c.textShared {
		return start.RelayedSize()
	}
	return start.Size()
}

const (
	// relayedOverheadBytes is the approximate size, without its texts, of an order in a message to
	// the instance that relays it.
	relayedOverheadBytes = 100
	// startsPerText is the number of starts that share one copy of a text sent to an instance: the
	// average number of tasks of a job, divided among the few instances that relay them.
	startsPerText = 8
)

// RelayedSize returns the approximate size, in bytes, of the order in a message to another instance
// that relays it.
func (s *Start) RelayedSize() int {
	return relayedOverheadBytes + len(s.Text)/startsPerText + len(s.Checkpoint) + len(s.Ticket)
}

// SetSendBudget sets how many bytes the orders of the next decision may take, and whether the
// starts of a step share their text. Starts that would only queue at this instance's own link are
// not decided, so that the most urgent task always goes first when there is room to send and no
// answer is delayed by that queue. A gang is always sent whole.
func (c *Cell) SetSendBudget(bytes int, shared bool) { c.sendBudget, c.textShared = bytes, shared }

// SendLimited reports whether the last decision left out starts because the send budget was used
// up.
func (c *Cell) SendLimited() bool { return c.sendLimited }
