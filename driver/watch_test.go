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

// Guards against noticing too late that a worker leaves. A worker got tasks more than two seconds
// after it had announced that it leaves: its owner logged worker_leaves 2.157 s after the store's
// connections had stalled. The directory is read every 0.8 s, and a read that had just begun waited
// for the full 1.5 s that a call to the store may stall.

// stallingDirectory is a directory of one worker. Its second read uses a connection that has
// stalled.
type stallingDirectory struct {
	mu    sync.Mutex
	reads int
	// silentFor is how long a stalled call waits for the first byte unless its caller ends it.
	silentFor time.Duration
	first     time.Time
}

func (l *stallingDirectory) All(ctx context.Context) ([]Entry, error) {
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
		return nil, kind.New(kind.Lost, "connection stalled")
	}
	w := cell.Worker{ID: "w", Addr: "a", Pool: "p", Hall: "h", Room: sched.Vec{sched.MilliCPU: 1000}}
	// The worker announces that it leaves right after the first read.
	w.Draining = n > 1
	return []Entry{{Ver: uint64(n), Worker: w}}, nil
}

var _ = ginkgo.Describe("the directory", func() {
	ginkgo.It("is read less often if it is long, down to a minimum rate", func() {
		Expect(readPause(8, 0)).To(Equal(readInterval))
		Expect(readPause(350, 0)).To(Equal(readInterval))
		Expect(readPause(800, 0)).To(Equal(2 * readInterval))
		Expect(readPause(3000, 0)).To(Equal(maxReadInterval))
	})

	// The pause must follow the size of the list, not the duration of the read. A list of 120
	// workers took 0.2 s of a 2 Mbit/s link every second. When the pause followed the duration of
	// the read, an owner that reached the store only through a peer read the list every 2 s, and
	// gave 16 tasks to a worker that had announced 2 s before that it leaves.
	ginkgo.It("is read less often over a slow link, however slow the store is", func() {
		Expect(readPause(120, 250_000)).To(BeNumerically("~", 1800*time.Millisecond, 100*time.Millisecond))
		Expect(readPause(120, 2_500_000)).To(Equal(readInterval))
		Expect(readPause(10_000, 1000)).To(Equal(maxReadInterval))
	})

	ginkgo.It("shows within two seconds that a worker leaves, though the connection to the store stalls", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		l := &stallingDirectory{silentFor: 1500 * time.Millisecond}
		d.Directory = l
		d.spawn(d.watchDirectory)
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
