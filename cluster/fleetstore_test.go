// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"dewpass.org/rows"
)

// fleetStore is a store that several instances share. It counts the rows that it returns.
type fleetStore struct {
	mu       sync.Mutex
	rows     map[rows.Key]rows.Row
	ver      uint64
	returned int
}

func newFleetStore() *fleetStore { return &fleetStore{rows: make(map[rows.Key]rows.Row)} }

// Tx implements rows.Store.
func (s *fleetStore) Tx(_ context.Context, t rows.Tx) (rows.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if row := s.rows[e.Key]; row.Ver != e.Ver {
			return rows.Result{Refused: true, Rows: []rows.Row{row}}, nil
		}
	}
	s.ver++
	for _, r := range t.Put {
		r.Ver = s.ver
		s.rows[r.Key] = r
	}
	for _, k := range t.Remove {
		delete(s.rows, k)
	}
	return rows.Result{Ver: s.ver}, nil
}

// Get implements rows.Store.
func (s *fleetStore) Get(_ context.Context, r rows.Range) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{Ver: s.ver}
	for key, row := range s.rows {
		if key.Table == r.Table && key.Part == r.Part && key.Name >= r.From && (r.To == "" || key.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Name, b.Name) })
	if r.Limit > 0 && len(page.Rows) > r.Limit {
		page.Rows, page.More = page.Rows[:r.Limit], true
	}
	s.returned += len(page.Rows)
	return page, nil
}

// Feed implements rows.Store.
func (s *fleetStore) Feed(context.Context, rows.FeedQuery) (rows.Page, error) {
	return rows.Page{}, nil
}

// rowsReturned returns how many rows were returned since the last call.
func (s *fleetStore) rowsReturned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.returned
	s.returned = 0
	return n
}
