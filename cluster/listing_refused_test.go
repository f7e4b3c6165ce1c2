// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/wire"
)

// Guards against reads of the directory by all owners when the store turns the reader away: it refuses,
// but is still heard as one that reaches the store. 18 owners' reads of 6,000 entries were seen in one
// such outage.
var _ = Describe("the directory of workers whose reader refuses", func() {
	refusing := handlerFunc(func(*wire.Request) *wire.Reply {
		return &wire.Reply{Error: wire.ToError(kind.New(kind.Unavailable, "this instance does not read the directory"))}
	})

	DescribeTable("is read by the next owner for all", func(ctx context.Context, cells, refusals int) {
		f := newDirectoryFleet(cells, refusing)
		// The reader that answers owns the cell after those of the readers that refuse.
		answers := fmt.Sprint("cell-", refusals)
		f.reader.cells = map[string]*ownCell{answers: {driver: driver.New(driver.Config{Name: answers, Claim: &claim.Claim{}})}}
		addr := listenForPeers(f.reader)
		var wg sync.WaitGroup
		for i := refusals + 1; i < cells; i++ {
			o := f.owner(fmt.Sprint("cell-", i))
			for at := range refusals {
				name := fmt.Sprint("refuses", at)
				o.n.members.applyGreeting(&wire.Greeting{
					Instance: name, Hall: "h", Boot: name, Addr: f.greeting.Addr, StoreOk: true,
					Cells: []*wire.CellSummary{{Name: fmt.Sprint("cell-", at), Ready: true, Epoch: 2}},
				}, time.Now())
			}
			o.n.members.applyGreeting(&wire.Greeting{
				Instance: "next", Hall: "h", Boot: "next", Addr: addr, StoreOk: true,
				Cells: []*wire.CellSummary{{Name: answers, Ready: true}},
			}, time.Now())
			o.n.storeClient.Direct = staticStore{}
			_, err := o.n.storeClient.Get(ctx, rows.Range{Table: "t"})
			Expect(err).NotTo(HaveOccurred())
			wg.Go(func() {
				defer GinkgoRecover()
				l, err := o.list(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(l.Workers).To(Equal(f.directory.racks + 1))
			})
		}
		wg.Wait()
		Expect(f.directory.returned.Load()).To(BeEquivalentTo(f.directory.racks+1), "by one instance")
	},
		Entry("of 4 cells", 4, 1), Entry("of 8 cells", 8, 1), Entry("of 16 cells", 16, 1),
		Entry("after three that refuse", 16, 3),
	)

	It("is read by the owner itself if readers do not answer at all", func(ctx context.Context) {
		silent := handlerFunc(func(*wire.Request) *wire.Reply {
			time.Sleep(2 * time.Second)
			return &wire.Reply{}
		})
		f := newDirectoryFleet(8, silent)
		o := f.owner("cell-7")
		for at := range 7 {
			name := fmt.Sprint("silent", at)
			o.n.members.applyGreeting(&wire.Greeting{
				Instance: name, Hall: "h", Boot: name, Addr: f.greeting.Addr, StoreOk: true,
				Cells: []*wire.CellSummary{{Name: fmt.Sprint("cell-", at), Ready: true, Epoch: 2}},
			}, time.Now().Add(time.Second))
		}
		begun := time.Now()
		_, err := o.list(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begun)).To(BeNumerically("<", listingTimeout+300*time.Millisecond))
	})
})
