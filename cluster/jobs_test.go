// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/rows"
)

// table is a store that only reads.
type table map[rows.Key][]byte

func (t table) Get(_ context.Context, r rows.Range) (rows.Page, error) {
	value, ok := t[rows.Key{Table: r.Table, Part: r.Part, Name: r.From}]
	if !ok {
		return rows.Page{Ver: 1}, nil
	}
	return rows.Page{Ver: 1, Rows: []rows.Row{{Value: value, Ver: 1}}}, nil
}

func (t table) Tx(context.Context, rows.Tx) (rows.Result, error) { return rows.Result{}, nil }

func (t table) Feed(context.Context, rows.Since) (rows.Page, error) { return rows.Page{}, nil }

var _ = Describe("the state of a job whose cell has no owner", func() {
	It("is that of its end, apart from the record or beside it, else that of the record", func(ctx context.Context) {
		running := flow.Encode(flow.Record{State: flow.Running})
		ended := flow.Encode(flow.Ended{State: flow.Succeeded})
		for _, c := range []struct {
			record, ended []byte
			want          flow.State
		}{
			{nil, nil, flow.Pending},
			{running, nil, flow.Running},
			{running, ended, flow.Succeeded},
			{nil, ended, flow.Succeeded},
		} {
			t := table{}
			if c.record != nil {
				t[driver.RecordKey("c", "j")] = c.record
			}
			if c.ended != nil {
				t[driver.EndedKey("j")] = c.ended
			}
			n := testNode(&policy{})
			n.door.Direct = t
			state, err := n.stored(ctx, "c", "j")
			Expect(err).NotTo(HaveOccurred())
			Expect(state).To(Equal(c.want))
		}
	})
})
