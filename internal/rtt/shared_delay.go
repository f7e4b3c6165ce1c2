// SPDX-License-Identifier: Apache-2.0

package rtt

import "time"

const (
	// sharedSpan is the length of a measuring span. A delay counts in its own span and the next.
	sharedSpan = time.Second
	// minDelayedPeers is how many peers must answer late for the cause to be on this side. One
	// or two may be slow themselves.
	minDelayedPeers = 3
)

// SharedDelay tracks by how much the answers of several peers are late at the same time. All that
// these peers have in common is the sender's own link and processor, so a delay of all of
// them is the sender's. Its zero value is ready for use.
type SharedDelay struct {
	// current and previous hold the peers with the largest delays of the present span and of
	// the one before it.
	current, previous [minDelayedPeers]peerDelay
	spanStart         time.Time
}

// peerDelay is the largest delay of one peer in a span.
type peerDelay struct {
	peer  string
	delay time.Duration
}

// Observe records that an answer of a peer was late by a duration.
func (c *SharedDelay) Observe(peer string, delay time.Duration, now time.Time) {
	c.rotate(now)
	smallest := 0
	for i := range c.current {
		if c.current[i].peer == peer {
			c.current[i].delay = max(c.current[i].delay, delay)
			return
		}
		if c.current[i].delay < c.current[smallest].delay {
			smallest = i
		}
	}
	if delay > c.current[smallest].delay {
		c.current[smallest] = peerDelay{peer: peer, delay: delay}
	}
}

// Current returns the delay that the answers of at least minDelayedPeers peers have had within the
// last two spans, 0 if there are fewer such peers.
func (c *SharedDelay) Current(now time.Time) time.Duration {
	c.rotate(now)
	return max(minDelay(&c.current), minDelay(&c.previous))
}

// minDelay returns the smallest of the delays. It is 0 if there are fewer than minDelayedPeers.
func minDelay(delays *[minDelayedPeers]peerDelay) time.Duration {
	delay := delays[0].delay
	for _, p := range delays {
		delay = min(delay, p.delay)
	}
	return delay
}

// rotate starts a new span if the present one has ended.
func (c *SharedDelay) rotate(now time.Time) {
	switch elapsed := now.Sub(c.spanStart); {
	case elapsed < sharedSpan:
		return
	case elapsed < 2*sharedSpan:
		c.previous = c.current
	default:
		c.previous = [minDelayedPeers]peerDelay{}
	}
	c.current, c.spanStart = [minDelayedPeers]peerDelay{}, now
}
