// SPDX-License-Identifier: Apache-2.0

// Package rtt estimates how long a peer takes to answer, and how long to wait for its next
// answer before it is considered lost. The estimate is that of TCP's retransmission timer
// (RFC 6298): a smoothed mean plus four times a smoothed deviation, doubled for each
// consecutive loss.
package rtt

import "time"

const (
	// The divisors with which a new measurement enters mean and deviation, and the factor of
	// the deviation in the timeout (RFC 6298).
	meanWeight      = 8
	deviationWeight = 4
	deviationFactor = 4
	// maxDoublings keeps the timeout from overflowing after many consecutive losses.
	maxDoublings = 6
)

// Estimate estimates the answer time of one peer. Its zero value is ready for use.
type Estimate struct {
	mean, deviation time.Duration
	losses          int
}

// Answered records an answer and how long it took.
func (e *Estimate) Answered(took time.Duration) {
	e.losses = 0
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / deviationWeight
	e.mean += (took - e.mean) / meanWeight
}

// Lost records that no answer came in time.
func (e *Estimate) Lost() { e.losses = min(e.losses+1, maxDoublings) }

// Timeout returns how long to wait for the next answer, at least minimum and at most maximum.
// Before the first answer it is twice the minimum, as a connection may have to be set up.
func (e *Estimate) Timeout(minimum, maximum time.Duration) time.Duration {
	timeout := max(e.mean+deviationFactor*e.deviation, minimum)
	if e.mean == 0 {
		timeout = 2 * minimum
	}
	return min(timeout<<e.losses, maximum)
}
