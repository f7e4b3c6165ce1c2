// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
)

var _ = ginkgo.Describe("a worker that was given up and reappears", func() {
	ginkgo.It("is attached under a fence above all that it has seen from this owner", func(ctx context.Context) {
		d := newDriver(ctx, newMemStore(), func() {})
		// The links must send no orders by themselves.
		d.cancel()
		defer d.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		entry := Entry{Ver: 1, Worker: cell.Worker{ID: "w", Addr: "127.0.0.1:1"}}
		d.applyEntry(entry, time.Now(), time.Now())
		for range 3 {
			d.nextFence(d.links["w"])
		}
		seen := d.links["w"].fence
		d.dropLink(d.links["w"], cell.LossSilent, time.Now())
		entry.Ver++
		d.applyEntry(entry, time.Now(), time.Now())
		Expect(d.nextFence(d.links["w"])).To(BeNumerically(">", seen))
	})
})
