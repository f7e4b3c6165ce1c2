// SPDX-License-Identifier: Apache-2.0

package rtt

import "time"

const (
	// commonSpan is for how long a delay counts; two spans are kept.
	commonSpan = time.Second
	// commonPeers is how many peers' answers must be late for the cause to be on this side:
	// one or two may be slow by themselves.
	commonPeers = 3
)

// Common follows by how much the answers of several peers are late at the same time: they
// share nothing but this sender's own link and processor. Its zero value has seen none.
type Common struct {
	now, before [commonPeers]late
	began       time.Time
}

// late is the worst delay of one peer.
type late struct {
	peer string
	by   time.Duration
}

// Saw takes in that an answer of a peer was late.
func (c *Common) Saw(peer string, by time.Duration, now time.Time) {
	c.turn(now)
	at := 0
	for i := range c.now {
		if c.now[i].peer == peer {
			c.now[i].by = max(c.now[i].by, by)
			return
		}
		if c.now[i].by < c.now[at].by {
			at = i
		}
	}
	if by > c.now[at].by {
		c.now[at] = late{peer: peer, by: by}
	}
}

// By returns how late the answers of several peers have lately been.
func (c *Common) By(now time.Time) time.Duration {
	c.turn(now)
	return max(lowest(&c.now), lowest(&c.before))
}

func lowest(all *[commonPeers]late) time.Duration {
	by := all[0].by
	for _, l := range all {
		by = min(by, l.by)
	}
	return by
}

// turn begins a new span when the present one is over.
func (c *Common) turn(now time.Time) {
	switch over := now.Sub(c.began); {
	case over < commonSpan:
		return
	case over < 2*commonSpan:
		c.before = c.now
	default:
		c.before = [commonPeers]late{}
	}
	c.now, c.began = [commonPeers]late{}, now
}
