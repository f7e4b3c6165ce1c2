// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/sched"
)

// Guards against overestimating how long a worker stays: its runs were left to end in its last
// moments, their ends were not known, and they ran again.

// heartbeatInterval is the interval between the writes of a simulated worker.
const heartbeatInterval = 1500 * time.Millisecond

// entryWrite is a write of a worker's entry.
type entryWrite struct {
	// at is when the write takes effect.
	at        time.Time
	draining  bool
	remaining time.Duration
}

// heartbeats simulates the entry of a worker that stays for notice after its announcement. write i
// takes effect delay(i) after the worker has computed it; the announcement is write 0, and earlier
// writes have negative numbers. The time to stay counts from when the announcement takes effect.
func heartbeats(announced time.Time, notice time.Duration, delay func(int) time.Duration) []entryWrite {
	taken := announced.Add(delay(0))
	var out []entryWrite
	for i := -4; time.Duration(i)*heartbeatInterval < notice+delay(0); i++ {
		w := entryWrite{at: announced.Add(time.Duration(i)*heartbeatInterval + delay(i)), draining: i >= 0}
		if w.draining {
			w.remaining = max(min(notice, taken.Add(notice).Sub(announced.Add(time.Duration(i)*heartbeatInterval))), 0)
		}
		out = append(out, w)
	}
	return out
}

// entryAt returns the entry of the worker "w" as the store has it at a time, and whether there is
// one. Its version is the order in which the writes take effect.
func entryAt(writes []entryWrite, at time.Time) (Entry, bool) {
	e := Entry{Worker: cell.Worker{ID: "w", Addr: "w", Pool: "p", Hall: "h", Room: sched.Vec{sched.MilliCPU: 1}}}
	var newest time.Time
	for _, w := range writes {
		if w.at.After(at) {
			continue
		}
		e.Ver++
		if !w.at.Before(newest) {
			newest, e.Draining, e.Remaining = w.at, w.draining, w.remaining
		}
	}
	return e, e.Ver > 0
}

// overestimate has a driver read the directory at the given times, each read taking readTime, until
// the worker leaves, and returns by how much the driver overestimates the time to stay at the most.
// It is negative if the driver never does.
func overestimate(d *Driver, writes []entryWrite, reads []time.Time, readTime time.Duration, leaves time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	most, known := -time.Hour, false
	for _, begun := range reads {
		now := begun.Add(readTime)
		if now.After(leaves) {
			break
		}
		if e, ok := entryAt(writes, begun); ok {
			d.applyEntry(e, begun, now)
		}
		d.directoryReadAt = begun
		l := d.links["w"]
		if l == nil {
			continue
		}
		Expect(l.draining).To(Or(BeTrue(), Equal(known)), "the announcement is not taken back")
		if known = l.draining; known {
			most = max(most, l.leavesAt.Sub(leaves))
		}
	}
	return most
}

// readTimes returns when reads begin, at an interval from a time on, without those in an outage.
func readTimes(from time.Time, every time.Duration, outageFrom, outageUntil time.Time) []time.Time {
	var out []time.Time
	for at := from; at.Before(from.Add(time.Minute)); at = at.Add(every) {
		if at.Before(outageFrom) || at.After(outageUntil) {
			out = append(out, at)
		}
	}
	return out
}

var _ = ginkgo.Describe("how long a leaving worker is believed to stay", func() {
	const (
		notice = 8 * time.Second
		step   = 90 * time.Millisecond
	)
	inTime := func(int) time.Duration { return 0 }
	delays := map[string]func(int) time.Duration{
		"writes take effect at once": inTime,
		"all writes are slow":        func(int) time.Duration { return 400 * time.Millisecond },
		"the second write is late": func(i int) time.Duration {
			if i == 1 {
				return 1400 * time.Millisecond
			}
			return 0
		},
		"a later write is several seconds late": func(i int) time.Duration {
			if i == 2 {
				return 3100 * time.Millisecond
			}
			return 0
		},
		"a write of before the announcement is late": func(i int) time.Duration {
			if i == -1 {
				return 2 * time.Second
			}
			return 0
		},
		"the announcement is late": func(i int) time.Duration {
			if i == 0 {
				return 1400 * time.Millisecond
			}
			return 0
		},
	}
	begin := time.Now()
	newReader := func(ctx context.Context) *Driver {
		d := newDriver(ctx, newMemStore(), func() {})
		ginkgo.DeferCleanup(d.Close)
		return d
	}

	for name, delay := range delays {
		ginkgo.It("is never too long for an owner that has read the entries before: "+name, func(ctx context.Context) {
			for _, every := range []time.Duration{readInterval, 1300 * time.Millisecond, maxReadInterval} {
				for offset := time.Duration(0); offset < every; offset += step {
					for _, outage := range []time.Duration{0, 3 * time.Second, 7 * time.Second} {
						announced := begin.Add(5*time.Second + offset)
						reads := readTimes(begin, every, announced.Add(time.Second), announced.Add(time.Second+outage))
						writes := heartbeats(announced, notice, delay)
						leaves := announced.Add(delay(0) + notice)
						Expect(overestimate(newReader(ctx), writes, reads, 20*time.Millisecond, leaves)).To(BeNumerically("<=", 0),
							fmt.Sprint("read every ", every, ", offset ", offset, ", unread for ", outage))
					}
				}
			}
		})
	}

	ginkgo.It("is never too long for an owner that reads the entries for the first time, however long the read takes", func(ctx context.Context) {
		for _, readTime := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
			for first := 10 * time.Millisecond; first < notice; first += step {
				// Writes fail for some time before the first read, so that the entry is up to
				// heartbeatInterval older than that.
				for _, failing := range []time.Duration{0, heartbeatInterval, maxEntryAge - heartbeatInterval} {
					announced := begin.Add(5 * time.Second)
					reads := readTimes(announced.Add(first), readInterval, time.Time{}, time.Time{})
					var writes []entryWrite
					for _, w := range heartbeats(announced, notice, inTime) {
						if w.at.Before(reads[0].Add(-failing)) || w.at.After(reads[0]) {
							writes = append(writes, w)
						}
					}
					Expect(overestimate(newReader(ctx), writes, reads, readTime, announced.Add(notice))).To(BeNumerically("<=", 0),
						fmt.Sprint("first read after ", first, ", writes fail for ", failing, ", the read takes ", readTime))
				}
			}
		}
	})

	ginkgo.It("is not that of the first read of an old entry, once a newer one says less", func(ctx context.Context) {
		d := newReader(ctx)
		announced := begin.Add(5 * time.Second)
		writes := heartbeats(announced, notice, inTime)
		// The worker cannot write between its announcement and 6 s after it.
		writes = append(writes[:5:5], writes[8:]...)
		reads := readTimes(announced.Add(5900*time.Millisecond), readInterval, time.Time{}, time.Time{})
		overestimate(d, writes, reads[:2], 20*time.Millisecond, announced.Add(notice))
		d.mu.Lock()
		defer d.mu.Unlock()
		Expect(d.links["w"].leavesAt).To(BeTemporally("<=", announced.Add(notice)))
	})

	ginkgo.It("does not take a worker that it knows anew for one that has just announced", func(ctx context.Context) {
		d := newReader(ctx)
		announced := begin.Add(5 * time.Second)
		writes := heartbeats(announced, notice, inTime)
		d.directoryReadAt = announced.Add(4400 * time.Millisecond)
		reads := []time.Time{announced.Add(4480 * time.Millisecond)}
		Expect(overestimate(d, writes[:5], reads, 20*time.Millisecond, announced.Add(notice))).To(BeNumerically("<=", 0))
	})

	ginkgo.It("does not count from a read in which the worker's entry was missing", func(ctx context.Context) {
		d := newReader(ctx)
		announced := begin.Add(5 * time.Second)
		writes := heartbeats(announced, notice, inTime)
		overestimate(d, writes, []time.Time{begin}, 20*time.Millisecond, announced.Add(notice))
		// The announcement was not read before the entry disappeared. The entry returns as it was
		// written 2 s before.
		missing := announced.Add(4 * time.Second)
		d.mu.Lock()
		d.links["w"].missingSince, d.directoryReadAt = missing, missing
		d.mu.Unlock()
		reads := []time.Time{announced.Add(5 * time.Second)}
		Expect(overestimate(d, writes[:7], reads, 20*time.Millisecond, announced.Add(notice))).To(BeNumerically("<=", 0))
	})
})
