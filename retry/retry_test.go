// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// outageStats describes the callers of a simulated outage.
type outageStats struct {
	// tries is how often a caller tried, on average.
	tries float64
	// longestReturn is the longest time from the end of the outage to the return of a
	// caller, and peakReturns the highest number of callers that returned within a tenth of
	// a second, less the number of new callers in that time.
	longestReturn time.Duration
	peakReturns   int
}

// lateShare returns the share of late callers among those that arrive in the last quarter of a
// second of an outage. Each caller waits for the end, is then refused and returns when it is
// told to; it is late if it is served half a second or more after the end.
func lateShare(length, wait time.Duration, rate int) float64 {
	late, arrived := 0, 0
	for i := range int(length.Seconds() * float64(rate)) {
		begun := time.Duration(i) * time.Second / time.Duration(rate)
		if begun < length-MaxWait {
			continue
		}
		at := begun
		for at+wait < length {
			at += wait + Delay(at+wait, fmt.Sprintf("%016x", i*2654435761))
		}
		arrived++
		if max(at, length)-length >= time.Second/2 {
			late++
		}
	}
	return float64(late) / float64(arrived)
}

// simulateOutage simulates an outage in which rate new callers arrive per second. Each of them
// returns when it is told to.
func simulateOutage(length time.Duration, rate int, delay func(age time.Duration, key string) time.Duration) outageStats {
	var out outageStats
	returns := make(map[int]int)
	callers := int(length.Seconds()) * rate
	for i := range callers {
		at := length * time.Duration(i) / time.Duration(callers)
		tries := 1
		for at < length {
			at += delay(at, fmt.Sprintf("%016x", i*2654435761))
			tries++
		}
		out.tries += float64(tries) / float64(callers)
		out.longestReturn = max(out.longestReturn, at-length)
		returns[int((at-length)/(100*time.Millisecond))]++
	}
	for _, n := range returns {
		out.peakReturns = max(out.peakReturns, n-rate/10)
	}
	return out
}

func fixedDelay(time.Duration, string) time.Duration { return time.Second }

func TestShortOutageUsesTheMinimumDelay(t *testing.T) {
	g := NewWithT(t)
	got, fixed := simulateOutage(time.Second, 100, Delay), simulateOutage(time.Second, 100, fixedDelay)
	g.Expect(got).To(Equal(fixed))
}

func TestLongOutageHasFewRetriesThatAreSpread(t *testing.T) {
	g := NewWithT(t)
	for _, length := range []time.Duration{10 * time.Second, 30 * time.Second, 2 * time.Minute} {
		got, fixed := simulateOutage(length, 100, Delay), simulateOutage(length, 100, fixedDelay)
		t.Logf("%v: %+v, each after a second %+v", length, got, fixed)
		g.Expect(got.tries).To(BeNumerically("<", fixed.tries*0.65))
		g.Expect(got.longestReturn).To(BeNumerically("<=", min(length, MaxDelay)))
		g.Expect(got.peakReturns).To(BeNumerically("<", fixed.peakReturns))
	}
}

func TestCallersThatArriveJustBeforeTheEndAreServedAtTheEnd(t *testing.T) {
	g := NewWithT(t)
	for _, length := range []time.Duration{time.Second / 2, 4 * time.Second, 20 * time.Second} {
		refused, waited := lateShare(length, 0, 100), lateShare(length, Wait(time.Minute, 0), 100)
		t.Logf("%v: late %.2f refused at once, %.2f after a wait", length, refused, waited)
		g.Expect(refused).To(Equal(1.0))
		g.Expect(waited).To(BeZero())
	}
}

func TestNumberOfWaitingCallersIsLimited(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Wait(time.Minute, MaxWaiting-1)).To(Equal(MaxWait))
	g.Expect(Wait(time.Minute, MaxWaiting)).To(BeZero())
}

func TestWaitLeavesTimeBeforeTheDeadline(t *testing.T) {
	g := NewWithT(t)
	for _, left := range []time.Duration{time.Second / 2, 100 * time.Millisecond, time.Millisecond} {
		g.Expect(Wait(left, 0)).To(BeNumerically("<=", left/4))
	}
	g.Expect(Wait(-time.Second, 0)).To(BeZero())
}

func TestDelayIsDeterministicAndSpreadByKey(t *testing.T) {
	g := NewWithT(t)
	var delays []time.Duration
	for i := range 100 {
		key := fmt.Sprint(i)
		g.Expect(Delay(10*time.Second, key)).To(Equal(Delay(10*time.Second, key)))
		delays = append(delays, Delay(10*time.Second, key))
	}
	g.Expect(slices.Max(delays)-slices.Min(delays)).To(BeNumerically(">", 4*time.Second), "spread")
	g.Expect(slices.Min(delays)).To(BeNumerically(">=", 5*time.Second))
}
