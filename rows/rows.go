// SPDX-License-Identifier: Apache-2.0

// Package rows says what dewpass asks of a transactional store of rows, and
// keeps a way to it open.
//
// Rows stand in tables. Within a table they are grouped by part: a transaction
// that stays within one part is cheaper than one across several. A version is
// drawn from one counter for the whole store, so that a row's version tells
// whether it has changed, and the newest version how old an answer is.
//
// A Client is a Store that goes by a peer while the store turns this instance
// away. All that a transaction rests on is in the transaction, so it does not
// matter who sends it.
package rows

import (
	"context"
	"time"
)

// Key names a row.
type Key struct {
	Table string `json:"t"`
	Part  string `json:"p,omitempty"`
	Name  string `json:"k"`
}

// Row is a row, or one that is gone.
type Row struct {
	Key
	Value []byte `json:"v,omitempty"`
	Ver   uint64 `json:"ver,omitempty"`
	Gone  bool   `json:"gone,omitempty"`
}

// Check is a condition: the row has this version, or is absent if it is 0.
type Check struct {
	Key
	Ver uint64 `json:"ver,omitempty"`
}

// Tx is a transaction: all of it or nothing.
type Tx struct {
	Expect []Check `json:"expect,omitempty"`
	Put    []Row   `json:"put,omitempty"`
	Remove []Key   `json:"remove,omitempty"`
	// Across says that the rows are of several parts.
	Across bool `json:"across,omitempty"`
}

// MaxEntries is how many entries a transaction may hold.
const MaxEntries = 100

// Result is what became of a transaction: committed at Ver, or refused with the
// expected rows as they stand. A row that is absent may be left out.
type Result struct {
	Ver     uint64 `json:"ver"`
	Refused bool   `json:"refused,omitempty"`
	Rows    []Row  `json:"rows,omitempty"`
	// ClockMS is the store's steady clock at this answer, in milliseconds; 0 if it said
	// nothing of it.
	ClockMS int64 `json:"clock,omitempty"`
}

// Range asks for the rows of a part of a table.
type Range struct {
	Table string `json:"t"`
	Part  string `json:"p,omitempty"`
	// From is the first name, and To the first one beyond; "" is no bound.
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	Limit int    `json:"limit,omitempty"`
}

// Since asks for the changes of a table after a version.
type Since struct {
	Table string        `json:"t"`
	Ver   uint64        `json:"ver"`
	Wait  time.Duration `json:"wait"`
}

// Page is an answer with rows. Ver is the newest version of the store, and ClockMS its
// steady clock in milliseconds, 0 if it said nothing of it.
type Page struct {
	Rows    []Row  `json:"rows,omitempty"`
	More    bool   `json:"more,omitempty"`
	Ver     uint64 `json:"ver"`
	ClockMS int64  `json:"clock,omitempty"`
	// Forgotten says that the changes asked for are not known any more.
	Forgotten bool `json:"forgotten,omitempty"`
	// Bad holds the rows that cannot be read. They cost themselves and no other row.
	Bad []Bad `json:"bad,omitempty"`
	// Last is the last name of the page, of a row that can be read or not; "" is that of
	// the last one in Rows.
	Last string `json:"last,omitempty"`
}

// Bad is a row that cannot be read: another writer's, or damaged.
type Bad struct {
	// Key is what of the row's key can be read.
	Key
	Ver    uint64 `json:"v,omitempty"`
	Reason string `json:"why"`
}

// last returns the last name of a page, "" if it has none.
func (p *Page) last() string {
	if p.Last == "" && len(p.Rows) > 0 {
		return p.Rows[len(p.Rows)-1].Name
	}
	return p.Last
}

// Store is a transactional store of rows. Errors are of kind Unavailable when
// the call surely had no effect, and Lost when it may have had one.
type Store interface {
	Tx(ctx context.Context, t Tx) (Result, error)
	Get(ctx context.Context, r Range) (Page, error)
	Feed(ctx context.Context, s Since) (Page, error)
}

// One returns the only row of a page, with version 0 if there is none.
func (p Page) One() Row {
	if len(p.Rows) == 0 {
		return Row{}
	}
	return p.Rows[0]
}

// Only returns the range that holds nothing but one row.
func Only(k Key) Range {
	return Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + "\x00", Limit: 1}
}

// Reading is a range that is read page by page. One that failed goes on where it was
// when it is read again, so that a long range over a thin link comes to its end. Its zero
// value has read nothing.
type Reading struct {
	Rows []Row
	// Bad holds the rows of the range that cannot be read.
	Bad []Bad
	// Ver is the version of the first page: what is not there was written after it, or
	// removed.
	Ver  uint64
	Done bool

	from string
}

// Read reads what is left of a range, the same one in each call.
func (p *Reading) Read(ctx context.Context, s Store, r Range) error {
	for !p.Done {
		if p.from != "" {
			r.From = p.from
		}
		page, err := s.Get(ctx, r)
		if err != nil {
			return err
		}
		p.Rows, p.Bad = append(p.Rows, page.Rows...), append(p.Bad, page.Bad...)
		if p.Ver == 0 {
			p.Ver = page.Ver
		}
		next := page.last() + "\x00"
		// A page that brings no later name would come again and again.
		p.Done = !page.More || next <= p.from
		p.from = next
	}
	return nil
}

// All reads a range to its end, and returns the version of its first page.
func All(ctx context.Context, s Store, r Range) ([]Row, uint64, error) {
	var p Reading
	if err := p.Read(ctx, s, r); err != nil {
		return nil, 0, err
	}
	return p.Rows, p.Ver, nil
}
