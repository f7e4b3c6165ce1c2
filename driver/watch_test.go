// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/kind"
	"dewpass.org/sched"
)

// A worker was given tasks more than two seconds after it had said that it leaves: its owner's
// worker_leaves came 2.157 s after the store's connections had gone silent. The list is read
// every 0.8 s, and a reading that had just begun waited out the 1.5 s that a call to the store
// may be silent for.

// silentList is a directory of one worker. The reading after the first goes by a connection
// that has gone silent.
type silentList struct {
	mu    sync.Mutex
	reads int
	// silentFor is how long a call waits for a first byte where its caller doesn't end it.
	silentFor time.Duration
	first     time.Time
}

func (l *silentList) All(ctx context.Context) ([]Entry, error) {
	l.mu.Lock()
	l.reads++
	n := l.reads
	if n == 1 {
		l.first = time.Now()
	}
	l.mu.Unlock()
	if n == 2 {
		select {
		case <-ctx.Done():
		case <-time.After(l.silentFor):
		}
		return nil, kind.New(kind.Lost, "silent")
	}
	w := cell.Worker{ID: "w", Addr: "a", Pool: "p", Hall: "h", Room: sched.Vec{sched.Milli: 1000}}
	// It says that it leaves right after the first reading.
	w.Draining = n > 1
	return []Entry{{Ver: uint64(n), Worker: w}}, nil
}

var _ = ginkgo.Describe("the directory", func() {
	ginkgo.It("is read less often when it is long, down to a bound", func() {
		Expect(readPause(8, 0)).To(Equal(readEvery))
		Expect(readPause(350, 0)).To(Equal(readEvery))
		Expect(readPause(800, 0)).To(Equal(2 * readEvery))
		Expect(readPause(3000, 0)).To(Equal(readMost))
	})

	// A list of 120 workers took 0.2 s of a link of 2 Mbit/s every second. Going by the time
	// that a reading took, an owner that reached the store by a peer alone read the list every
	// 2 s, and gave 16 tasks to a worker that had said 2 s before that it leaves.
	ginkgo.It("is read less often over a thin link, whatever the store does", func() {
		Expect(readPause(120, 250_000)).To(BeNumerically("~", 1800*time.Millisecond, 100*time.Millisecond))
		Expect(readPause(120, 2_500_000)).To(Equal(readEvery))
		Expect(readPause(10_000, 1000)).To(Equal(readMost))
	})

	ginkgo.It("shows within two seconds that a worker leaves, though its connection goes silent", func(ctx context.Context) {
		d := newDriver(ctx, newTable(), func() {})
		l := &silentList{silentFor: 1500 * time.Millisecond}
		d.Directory = l
		d.spawn(d.watch)
		defer d.Close()
		leaves := func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.links["w"] != nil && d.links["w"].draining
		}
		Eventually(leaves, 5*time.Second, 5*time.Millisecond).Should(BeTrue())
		Expect(time.Since(l.first)).To(BeNumerically("<", 2*time.Second))
	})
})
