// SPDX-License-Identifier: Apache-2.0

// Package rows declares the transactional row store that dewpass requires, and
// a client that stays connected to it through peers.
//
// Rows are stored in tables. Within a table they are grouped into parts, and a
// transaction is within one part of any tables. Versions come from a single
// counter for the whole store, so a row's version shows whether the row has
// changed, and the store's newest version shows how recent a response is.
//
// A Client is a Store that sends calls through a peer while the store does not
// answer this instance. A transaction contains all of its preconditions, so any
// instance may send it.
package rows

import (
	"context"
	"time"
)

// Key identifies a row.
type Key struct {
	Table string `json:"t"`
	Part  string `json:"p,omitempty"`
	Name  string `json:"k"`
}

// Row is a row, or the record of its deletion if Deleted is set.
type Row struct {
	Key
	Value   []byte `json:"v,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"gone,omitempty"`
}

// Check is a precondition: the row has version Ver, or does not exist if Ver is 0.
type Check struct {
	Key
	Ver uint64 `json:"ver,omitempty"`
}

// Tx is a transaction, which is applied completely or not at all.
type Tx struct {
	Expect []Check `json:"expect,omitempty"`
	Put    []Row   `json:"put,omitempty"`
	Remove []Key   `json:"remove,omitempty"`
}

// MaxEntries is the maximum number of entries in a transaction.
const MaxEntries = 100

// Result is the result of a transaction: committed at version Ver, or refused because a check
// failed, with the current rows of its checks. Rows that do not exist may be left out.
type Result struct {
	Ver     uint64 `json:"ver"`
	Refused bool   `json:"refused,omitempty"`
	Rows    []Row  `json:"rows,omitempty"`
	// ClockMS is the store's monotonic clock when it responded, in milliseconds; 0 if it
	// was not reported.
	ClockMS int64 `json:"clock,omitempty"`
	// Bytes is the size of the request and of the response, for accounting; 0 if unknown.
	Bytes int `json:"-"`
}

// Range selects rows of one part of a table by name.
type Range struct {
	Table string `json:"t"`
	Part  string `json:"p,omitempty"`
	// From is the first name, and To the first name after the range; "" is no bound.
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	Limit int    `json:"limit,omitempty"`
}

// FeedQuery selects the changes of a table after version Ver. Wait is how long to wait for the
// first change.
type FeedQuery struct {
	Table string        `json:"t"`
	Ver   uint64        `json:"ver"`
	Wait  time.Duration `json:"wait"`
}

// Page is a response with rows. Ver is the newest version of the store, and ClockMS its
// monotonic clock in milliseconds, 0 if it was not reported.
type Page struct {
	Rows    []Row  `json:"rows,omitempty"`
	More    bool   `json:"more,omitempty"`
	Ver     uint64 `json:"ver"`
	ClockMS int64  `json:"clock,omitempty"`
	// HistoryTrimmed says that the store no longer has the requested changes.
	HistoryTrimmed bool `json:"forgotten,omitempty"`
	// BadRows holds the rows that could not be decoded. They do not affect the other rows.
	BadRows []BadRow `json:"bad,omitempty"`
	// Last is the last name of the page, including rows that could not be decoded. If it is "",
	// the last name is that of the last row in Rows.
	Last string `json:"last,omitempty"`
	// Bytes is the size of the response, for accounting; 0 if unknown.
	Bytes int `json:"-"`
}

// BadRow is a row that could not be decoded, because it is damaged or was written by another
// program.
type BadRow struct {
	// Key holds the parts of the key that could be decoded.
	Key
	Ver    uint64 `json:"v,omitempty"`
	Reason string `json:"why"`
}

// lastName returns the last name of the page, "" if it has none.
func (p *Page) lastName() string {
	if p.Last == "" && len(p.Rows) > 0 {
		return p.Rows[len(p.Rows)-1].Name
	}
	return p.Last
}

// Store is a transactional store of rows. Errors are of kind Unavailable if the call certainly
// had no effect, and of kind Lost if it may have had one.
type Store interface {
	Tx(ctx context.Context, t Tx) (Result, error)
	Get(ctx context.Context, r Range) (Page, error)
	Feed(ctx context.Context, s FeedQuery) (Page, error)
}

// First returns the only row of a page, or a row with version 0 if there is none.
func (p Page) First() Row {
	if len(p.Rows) == 0 {
		return Row{}
	}
	return p.Rows[0]
}

// KeyRange returns the range that contains only the row with this key.
func KeyRange(k Key) Range {
	return Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + "\x00", Limit: 1}
}

// RangeReader reads a range page by page. After an error, the next call to Read continues where
// the last one stopped, so that a long range can be read completely over a slow link. The zero
// value has read nothing.
type RangeReader struct {
	Rows []Row
	// BadRows holds the rows of the range that could not be decoded.
	BadRows []BadRow
	// Ver is the version of the first page. A change that is missing from Rows has a later
	// version.
	Ver  uint64
	Done bool

	nextFrom string
}

// Read reads the rest of the range. Every call must pass the same range.
func (p *RangeReader) Read(ctx context.Context, s Store, r Range) error {
	for !p.Done {
		if p.nextFrom != "" {
			r.From = p.nextFrom
		}
		page, err := s.Get(ctx, r)
		if err != nil {
			return err
		}
		p.Rows, p.BadRows = append(p.Rows, page.Rows...), append(p.BadRows, page.BadRows...)
		if p.Ver == 0 {
			p.Ver = page.Ver
		}
		next := page.lastName() + "\x00"
		// Without a later name, the same page would be read forever.
		p.Done = !page.More || next <= p.nextFrom
		p.nextFrom = next
	}
	return nil
}

// ReadAll reads a whole range and returns its rows and the version of the first page.
func ReadAll(ctx context.Context, s Store, r Range) ([]Row, uint64, error) {
	var p RangeReader
	if err := p.Read(ctx, s, r); err != nil {
		return nil, 0, err
	}
	return p.Rows, p.Ver, nil
}
