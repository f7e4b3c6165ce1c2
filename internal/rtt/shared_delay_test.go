// SPDX-License-Identifier: Apache-2.0

package rtt

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A list of 48 KB took 0.2 s on a link of 2 Mbit/s. The answers of all workers queued behind it,
// and were considered lost after 0.1 s.
func TestSharedDelayNeedsSeveralLatePeers(t *testing.T) {
	g := NewWithT(t)
	var c SharedDelay
	now := time.Unix(1000, 0)
	g.Expect(c.Current(now)).To(BeZero())
	c.Observe("a", 200*time.Millisecond, now)
	c.Observe("b", 150*time.Millisecond, now)
	c.Observe("b", 900*time.Millisecond, now)
	g.Expect(c.Current(now)).To(BeZero(), "one or two peers may be slow themselves")
	c.Observe("c", 120*time.Millisecond, now)
	c.Observe("d", 5*time.Millisecond, now)
	g.Expect(c.Current(now)).To(Equal(120 * time.Millisecond))
	now = now.Add(sharedSpan + time.Millisecond)
	c.Observe("a", time.Millisecond, now)
	g.Expect(c.Current(now)).To(Equal(120*time.Millisecond), "a delay also counts in the next span")
	g.Expect(c.Current(now.Add(sharedSpan))).To(BeZero())
	g.Expect(c.Current(now.Add(time.Minute))).To(BeZero())
}
