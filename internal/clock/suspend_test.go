// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakeClocks are a steady clock and a boot clock that tests move.
type fakeClocks struct {
	steady, boot time.Duration
	bad          bool
	reads        int
}

func (f *fakeClocks) read() (steady, boot time.Duration, ok bool) {
	f.reads++
	return f.steady, f.boot, !f.bad
}

// pass lets time pass on both clocks, and sleep on the boot clock alone.
func (f *fakeClocks) pass(d time.Duration)  { f.steady, f.boot = f.steady+d, f.boot+d }
func (f *fakeClocks) sleep(d time.Duration) { f.boot += d }

// later returns a reading of the time so long after the start by the steady clock, with the time
// of day moved further by some.
func (s *suspended) later(steady, moved time.Duration) time.Time {
	// Without its steady part a time is compared by the time of day, so that both are
	// changed together and the start is moved back instead.
	t := s.start.Add(steady)
	s.moved.Add(-int64(moved))
	return t
}

func TestSuspensionCounts(t *testing.T) {
	g := NewWithT(t)
	f := &fakeClocks{steady: time.Hour, boot: 3 * time.Hour}
	s := newSuspended(f.read)
	f.pass(time.Second)
	g.Expect(s.by(s.later(time.Second, 0))).To(BeZero())
	g.Expect(f.reads).To(Equal(1), "nothing moved apart, nothing was read")
	f.sleep(3 * time.Second)
	g.Expect(s.by(s.later(time.Second, 3*time.Second))).To(Equal(3 * time.Second))
	f.sleep(30 * time.Second)
	g.Expect(s.by(s.later(time.Second, 30*time.Second))).To(Equal(33 * time.Second))
}

func TestStepOfTheTimeOfDayIsNoSuspension(t *testing.T) {
	g := NewWithT(t)
	f := &fakeClocks{}
	s := newSuspended(f.read)
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		f.pass(time.Second)
		g.Expect(s.by(s.later(time.Second, step))).To(BeZero())
	}
}

func TestSuspensionCountsOnceTheClocksCanBeRead(t *testing.T) {
	g := NewWithT(t)
	f := &fakeClocks{}
	s := newSuspended(f.read)
	f.sleep(time.Second)
	f.bad = true
	now := s.later(time.Second, time.Second)
	g.Expect(s.by(now)).To(BeZero())
	f.bad = false
	g.Expect(s.by(now)).To(Equal(time.Second))
}

func TestSystemsClocksAreReadTogether(t *testing.T) {
	g := NewWithT(t)
	steady, boot, ok := readClocks()
	g.Expect(ok).To(BeTrue())
	g.Expect(boot).To(BeNumerically(">=", steady-time.Millisecond))
	a := Now()
	time.Sleep(20 * time.Millisecond)
	g.Expect(Since(a)).To(BeNumerically("~", 20*time.Millisecond, 100*time.Millisecond))
	g.Expect(Until(a)).To(BeNumerically("<", 0))
	g.Expect(Wall()).To(BeTemporally("~", time.Now(), time.Second))
}

func BenchmarkNow(b *testing.B) {
	for range b.N {
		Now()
	}
}
