// SPDX-License-Identifier: Apache-2.0

//go:build faults

package claim

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

// The monotonic clock does not advance while a machine is suspended. Guards against an owner that
// resumes, takes its lease for one written 0.1 s ago and goes on although another instance has held
// it for seconds.

// onlyLease is a store that holds only the lease row.
type onlyLease struct{ row rows.Row }

func (s *onlyLease) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	for _, r := range t.Put {
		s.row.Key, s.row.Value = r.Key, r.Value
	}
	s.row.Ver++
	return rows.Result{Ver: s.row.Ver}, nil
}

func (s *onlyLease) Get(context.Context, rows.Range) (rows.Page, error) {
	page := rows.Page{Ver: s.row.Ver}
	if s.row.Ver > 0 {
		page.Rows = []rows.Row{s.row}
	}
	return page, nil
}

func (s *onlyLease) Feed(context.Context, rows.FeedQuery) (rows.Page, error) { return rows.Page{}, nil }

func TestSuspensionEndsALease(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	c := &Claim{Store: &onlyLease{}, Cell: "c", Owner: "me", Boot: "b"}
	seen, err := c.Read(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Take(ctx, seen)).To(Succeed())
	g.Expect(c.Valid(clock.Now())).To(BeTrue())
	clock.Sleep(3 * time.Second)
	g.Expect(c.Valid(clock.Now())).To(BeFalse())
}
