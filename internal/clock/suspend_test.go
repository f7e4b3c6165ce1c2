// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakeClocks simulates the monotonic clock and the boot clock. Reads fail while failing is set.
type fakeClocks struct {
	monotonic, boot time.Duration
	failing         bool
	reads           int
}

func (f *fakeClocks) read() (monotonic, boot time.Duration, ok bool) {
	f.reads++
	return f.monotonic, f.boot, !f.failing
}

// advance moves both clocks forward; suspend moves the boot clock alone.
func (f *fakeClocks) advance(d time.Duration) { f.monotonic, f.boot = f.monotonic+d, f.boot+d }
func (f *fakeClocks) suspend(d time.Duration) { f.boot += d }

// readingAfter returns the reading of time.Now at monotonic after the start, with the
// time of day drifted by a further drift.
func (s *suspensionTracker) readingAfter(monotonic, drift time.Duration) time.Time {
	// A time.Time without a monotonic reading is compared by its time of day, so the two parts
	// can't be set apart. Lowering the stored drift instead has the same effect.
	t := s.start.Add(monotonic)
	s.drift.Add(-int64(drift))
	return t
}

func TestSuspensionCounts(t *testing.T) {
	g := NewWithT(t)
	f := &fakeClocks{monotonic: time.Hour, boot: 3 * time.Hour}
	s := newSuspensionTracker(f.read)
	f.advance(time.Second)
	g.Expect(s.suspendedAt(s.readingAfter(time.Second, 0))).To(BeZero())
	g.Expect(f.reads).To(Equal(1), "the boot clock is not read while there is no drift")
	f.suspend(3 * time.Second)
	g.Expect(s.suspendedAt(s.readingAfter(time.Second, 3*time.Second))).To(Equal(3 * time.Second))
	f.suspend(30 * time.Second)
	g.Expect(s.suspendedAt(s.readingAfter(time.Second, 30*time.Second))).To(Equal(33 * time.Second))
}

func TestStepOfTheTimeOfDayIsNotASuspension(t *testing.T) {
	g := NewWithT(t)
	f := &fakeClocks{}
	s := newSuspensionTracker(f.read)
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		f.advance(time.Second)
		g.Expect(s.suspendedAt(s.readingAfter(time.Second, step))).To(BeZero())
	}
}

func TestSuspensionCountsOnceTheClocksCanBeRead(t *testing.T) {
	g := NewWithT(t)
	f := &fakeClocks{}
	s := newSuspensionTracker(f.read)
	f.suspend(time.Second)
	f.failing = true
	now := s.readingAfter(time.Second, time.Second)
	g.Expect(s.suspendedAt(now)).To(BeZero())
	f.failing = false
	g.Expect(s.suspendedAt(now)).To(Equal(time.Second))
}

func TestSystemClocksAreReadTogether(t *testing.T) {
	g := NewWithT(t)
	monotonic, boot, ok := readClocks()
	g.Expect(ok).To(BeTrue())
	g.Expect(boot).To(BeNumerically(">=", monotonic-time.Millisecond))
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
