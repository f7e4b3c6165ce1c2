// SPDX-License-Identifier: Apache-2.0

package outage

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// cut replays a hall that is cut off while orders keep coming: an owner has workers in five halls,
// each polled every two seconds, and sends an order to a worker of a drawn hall every 20 ms. An order
// or a poll to the hall that is cut off fails at once.
type cut struct {
	perHall int
	detect  bool
}

const (
	halls        = 5
	pollInterval = 2 * time.Second
	orderEvery   = 20 * time.Millisecond
	tick         = time.Millisecond
)

// lost returns how many orders are sent into the hall in the two seconds in which it is found out for
// all of its workers, and for how long it was suspect before the cut.
func (c cut) lost(begin time.Duration) (orders int, suspected time.Duration) {
	var d Detector
	start := time.Unix(1000, 0)
	known := make(map[int]bool)
	for t := time.Duration(0); t < begin+pollInterval; t += tick {
		now, isCut := start.Add(t), t >= begin
		for w := range halls * c.perHall {
			// The polls of the workers are spread over the interval.
			due := time.Duration(w*7919%(halls*c.perHall)) * pollInterval / time.Duration(halls*c.perHall)
			if t%pollInterval != due/tick*tick {
				continue
			}
			hall := fmt.Sprint("h", w%halls)
			if w%halls == 0 && isCut {
				known[w] = true
				d.Failed(hall, fmt.Sprint(w), now)
			} else {
				d.Answered(hall, now)
			}
		}
		if c.detect && d.Suspect("h0") {
			if !isCut {
				suspected += tick
			}
			continue
		}
		if n := int(t / orderEvery); t%orderEvery == 0 && isCut && n%halls == 0 {
			w := n / halls * 31 % c.perHall * halls
			if !known[w] {
				known[w] = true
				orders++
				d.Failed("h0", fmt.Sprint(w), now)
			}
		}
	}
	return orders, suspected
}

// Guards against work that is sent into a hall that is cut off, worker after worker, until each has
// missed its poll: jobs that came 1.5 s after a cut waited 6 s for the leases there.
func TestFewOrdersAreSentIntoAHallThatIsCutOffHoweverLargeItIs(t *testing.T) {
	g := NewWithT(t)
	for _, perHall := range []int{20, 40, 80} {
		with, suspected := cut{perHall, true}.lost(4 * time.Second)
		without, _ := cut{perHall, false}.lost(4 * time.Second)
		t.Logf("%d workers a hall: %d orders lost, %d without detection", perHall, with, without)
		g.Expect(with).To(BeNumerically("<=", MinFailedWorkers))
		g.Expect(without).To(BeNumerically(">", 2*MinFailedWorkers), "the replay shows the failure")
		g.Expect(suspected).To(BeZero())
	}
}

func TestSuspectHall(t *testing.T) {
	now := time.Unix(1000, 0)
	fail := func(d *Detector, workers ...string) {
		for _, w := range workers {
			d.Failed("h", w, now)
		}
	}
	for name, c := range map[string]struct {
		observe func(*Detector)
		suspect bool
	}{
		"nothing observed":                      {func(*Detector) {}, false},
		"one worker that fails again and again": {func(d *Detector) { fail(d, "a", "a", "a"); d.Answered("other", now.Add(1)) }, false},
		"several workers fail":                  {func(d *Detector) { fail(d, "a", "b", "c"); d.Answered("other", now.Add(1)) }, true},
		"one of the hall answers":               {func(d *Detector) { fail(d, "a", "b", "c"); d.Answered("h", now.Add(1)) }, false},
		"another hall answered only before":     {func(d *Detector) { d.Answered("other", now.Add(-1)); fail(d, "a", "b", "c") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			var d Detector
			c.observe(&d)
			NewWithT(t).Expect(d.Suspect("h")).To(Equal(c.suspect))
		})
	}
}
