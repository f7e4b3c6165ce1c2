// SPDX-License-Identifier: Apache-2.0

// Package rtt follows how long the answers of one peer take, and says how long to wait
// for the next one before it counts as lost. The estimate is that of TCP's
// retransmission timer (RFC 6298): a smoothed mean, four times a smoothed deviation, and
// a wait that doubles with each loss in a row.
package rtt

import "time"

const (
	// The weights of a new answer in mean and deviation, as divisors (RFC 6298).
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4
	// doublingsMost keeps a long row of losses from overflowing.
	doublingsMost = 6
)

// Estimate follows the answers of one peer. Its zero value has seen none.
type Estimate struct {
	mean, deviation time.Duration
	lost            int
}

// Answered takes in that an answer came.
func (e *Estimate) Answered(took time.Duration) {
	e.lost = 0
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / deviationWeight
	e.mean += (took - e.mean) / meanWeight
}

// Lost takes in that no answer came in time.
func (e *Estimate) Lost() { e.lost = min(e.lost+1, doublingsMost) }

// Wait returns how long to wait for an answer, between two bounds; twice the least before
// the first answer, which may need a connection first.
func (e *Estimate) Wait(least, most time.Duration) time.Duration {
	wait := max(e.mean+deviations*e.deviation, least)
	if e.mean == 0 {
		wait = 2 * least
	}
	return min(wait<<e.lost, most)
}
