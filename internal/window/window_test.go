// SPDX-License-Identifier: Apache-2.0

package window

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulatedLink is a link with a bandwidth and a round-trip time. Requests queue for it in the
// order in which they are sent. idleAt is when the last of them has been sent.
type simulatedLink struct {
	bytesPerSecond int
	roundTrip      time.Duration
	idleAt         time.Time
}

// send returns when the answer to a request of n bytes arrives.
func (p *simulatedLink) send(n int, now time.Time) time.Time {
	if p.idleAt.Before(now) {
		p.idleAt = now
	}
	p.idleAt = p.idleAt.Add(time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond))
	return p.idleAt.Add(p.roundTrip)
}

type pending struct {
	sent, due time.Time
}

// simulate sends requests of n bytes through p for a duration d, as many as w allows, and
// returns the number of answers and the longest answer time in the second half.
func simulate(w *Window, p *simulatedLink, n int, d time.Duration) (int, time.Duration) {
	begin := time.Unix(1000, 0)
	var queue []pending
	answered, longest := 0, time.Duration(0)
	for now := begin; now.Sub(begin) < d; now = now.Add(time.Millisecond) {
		for len(queue) > 0 && !queue[0].due.After(now) {
			took := queue[0].due.Sub(queue[0].sent)
			w.Answered(n, took, now)
			queue = queue[1:]
			answered++
			if now.Sub(begin) > d/2 {
				longest = max(longest, took)
			}
		}
		for w.Free() > 0 {
			w.Sent(n)
			queue = append(queue, pending{sent: now, due: p.send(n, now)})
		}
	}
	return answered, longest
}

// An owner on a link of 2 Mbit/s sent the start orders of a step with many tasks at once, 130
// of 1.5 KB. The last one took 0.8 s to leave; each counted as lost after 0.1 to 0.3 s, and
// the hold of its worker was sent again over the same link.
func TestQueuesStayShortOnASlowLink(t *testing.T) {
	g := NewWithT(t)
	var w Window
	n, longest := simulate(&w, &simulatedLink{bytesPerSecond: 250_000, roundTrip: 8 * time.Millisecond}, 1500, 10*time.Second)
	g.Expect(longest).To(BeNumerically("<", 3*TargetQueueDelay))
	g.Expect(n*1500).To(BeNumerically(">", 9*250_000), "the link is used")
}

func TestAFastLinkIsNotLimited(t *testing.T) {
	g := NewWithT(t)
	var w Window
	n, _ := simulate(&w, &simulatedLink{bytesPerSecond: 25_000_000, roundTrip: 8 * time.Millisecond}, 1500, time.Second)
	g.Expect(n * 1500).To(BeNumerically(">", 15_000_000))
}

func TestSimultaneousLossesCountOnce(t *testing.T) {
	g := NewWithT(t)
	var w Window
	now := time.Unix(1000, 0)
	for range 20 {
		w.Sent(1000)
	}
	for range 20 {
		w.Lost(1000, now)
	}
	g.Expect(w.Free()).To(Equal(minSize))
	w.setSize(8 * minSize)
	w.Sent(1000)
	w.Lost(1000, now.Add(lossInterval))
	g.Expect(w.Free()).To(Equal(4 * minSize))
	for i := range 5 {
		w.Sent(1000)
		w.Lost(1000, now.Add(time.Duration(2+i)*lossInterval))
	}
	g.Expect(w.Free()).To(Equal(minSize), "the minimum is always let through")
}

func TestALastingIncreaseOfDelayIsAccepted(t *testing.T) {
	g := NewWithT(t)
	var w Window
	now := time.Unix(1000, 0)
	answer := func(took time.Duration, n int) {
		for range n {
			w.Sent(w.Free())
			w.Answered(w.inFlight, took, now)
			now = now.Add(took)
		}
	}
	answer(5*time.Millisecond, 5)
	answer(300*time.Millisecond, 20)
	g.Expect(w.limit()).To(Equal(minSize))
	answer(300*time.Millisecond, 100)
	g.Expect(w.limit()).To(BeNumerically(">", 2*minSize))
}

func TestAnUnusedWindowDoesNotGrow(t *testing.T) {
	g := NewWithT(t)
	var w Window
	for i := range 100 {
		w.Sent(100)
		w.Answered(100, time.Millisecond, time.Unix(1000+int64(i), 0))
	}
	g.Expect(w.Free()).To(Equal(minSize))
}

// Owners on links of 200 Mbit/s held start orders back because answers took long, although the
// reason was a lack of processor time at the workers. They had the orders sent by weak
// instances instead, each over new connections, which was slower still.
func TestALinkThatIsNotFullIsNotLimited(t *testing.T) {
	g := NewWithT(t)
	w := Window{Rate: 25_000_000}
	now := time.Unix(1000, 0)
	for i := range 50 {
		w.Sent(1000)
		w.Answered(1000, time.Duration(5+200*(i%2))*time.Millisecond, now)
		now = now.Add(300 * time.Millisecond)
	}
	g.Expect(w.Free()).To(Equal(int(25_000_000 * TargetQueueDelay.Seconds())))
}
