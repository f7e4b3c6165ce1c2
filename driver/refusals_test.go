// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/kind"
	"dewpass.org/rows"
	"dewpass.org/sched"
)

// recordRefusingStore refuses the record of one job as invalid as long as it has steps, up to a number
// of times.
type recordRefusingStore struct {
	*memStore
	job   string
	times int
}

func (s *recordRefusingStore) Tx(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	refused := slices.ContainsFunc(tx.Put, func(r rows.Row) bool {
		return r.Key == RecordKey("c", s.job) && bytes.Contains(r.Value, []byte("stages"))
	})
	if refused && s.times > 0 {
		s.times--
		return rows.Result{}, kind.New(kind.BadRequest, "a value is too long")
	}
	return s.memStore.Tx(ctx, tx)
}

// Guards against a cell that stores nothing more: the store refused the record of one job, and with it
// the transaction with the changes of all others, which was sent again for as long as the owner lived.
var _ = ginkgo.Describe("a record that the store refuses", func() {
	ginkgo.DescribeTable("ends its own job alone", func(ctx context.Context, others, times int) {
		t := newMemStore()
		s := &recordRefusingStore{t, "a", times}
		d := newDriver(ctx, t, func() {})
		ginkgo.DeferCleanup(d.Close)
		d.Store, d.Claim.Store = s, s
		d.mu.Lock()
		d.cell.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		now := time.Now()
		ids := []string{"a"}
		for i := range others {
			ids = append(ids, fmt.Sprintf("b%d", i))
		}
		for _, id := range ids {
			d.cell.Submit(&flow.Spec{ID: id, Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1, Demand: sched.Vec{sched.MilliCPU: 1}}, {Count: 1}}}, now, now)
			d.cell.JobStored(id)
		}
		d.cell.Heard(cell.Worker{ID: "w", Pool: "p", Hall: "other", Room: sched.Vec{sched.MilliCPU: 1 << 20}}, now)
		d.cell.Attached("w", cell.Lists{}, now)
		// The hall is recorded before the first start there.
		d.cell.Place(now, now, 0)
		d.mu.Unlock()
		for range maxSearchGroups {
			d.commitOnce(true)
		}
		for _, id := range ids {
			Expect(t.has(RecordKey("c", id))).To(BeTrue(), id)
		}
		state, _ := d.State("a")
		Expect(state == flow.Failed).To(Equal(times > 1), "in state %q", state)
		d.mu.Lock()
		defer d.mu.Unlock()
		Expect(d.frozen).To(BeFalse(), "the cell lease is kept")
		Expect(d.refusals.searching()).To(BeFalse())
	},
		ginkgo.Entry("no other job", 0, maxSearchGroups),
		ginkgo.Entry("a few others", 5, maxSearchGroups),
		ginkgo.Entry("more than a group", 3*maxSavesPerCommit, maxSearchGroups),
		ginkgo.Entry("not after a single wrong response", 0, 1),
	)
})
