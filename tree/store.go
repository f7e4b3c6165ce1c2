// SPDX-License-Identifier: Apache-2.0

package tree

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Keys and key prefixes of the tree's rows in the platform's table.
const (
	headKey    = "tree/head"
	versionKey = "tree/version"
	logPrefix  = "tree/log/"
	editPrefix = "tree/edit/"
)

const (
	maxAttempts = 16
	logPageSize = 200
)

// Head is the row that holds the current tree.
type Head struct {
	Version uint64          `json:"version"`
	Doc     json.RawMessage `json:"doc"`
}

// Edit is a list of operations that are applied to the tree together.
type Edit struct {
	// ID identifies the edit, so that sending it again has no further effect. It
	// must be unique to each edit.
	ID string `json:"id"`
	// Base is the version of the tree on which the edit was made.
	Base uint64 `json:"base"`
	Ops  []Op   `json:"ops"`
	Who  string `json:"who,omitempty"`
}

// Entry is one accepted edit in the log.
type Entry struct {
	Version uint64    `json:"version"`
	Edit    Edit      `json:"edit"`
	Changes []Change  `json:"changes"`
	At      time.Time `json:"at"`
}

// Store keeps the tree in the platform's table.
type Store struct {
	Table ports.Table
	// Now returns the time that is recorded in the log.
	Now func() time.Time
}

func logKey(version uint64) string { return fmt.Sprintf("%s%020d", logPrefix, version) }

// Load returns the current tree. An empty table has version 0.
func (s *Store) Load(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// Version returns the version of the current tree. It reads a row of a few
// bytes, so it is cheap to poll.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	rows, err := s.Table.Get(ctx, versionKey)
	if err != nil || rows[0].Version == 0 {
		return 0, err
	}
	version, err := strconv.ParseUint(string(rows[0].Value), 10, 64)
	if err != nil {
		return 0, kind.Wrap(kind.Internal, err, "the row tree/version is damaged")
	}
	return version, nil
}

func (s *Store) readHead(ctx context.Context) (Head, uint64, error) {
	rows, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return Head{}, 0, err
	}
	head := Head{Doc: json.RawMessage(`{}`)}
	if rows[0].Version == 0 {
		return head, 0, nil
	}
	if err := json.Unmarshal(rows[0].Value, &head); err != nil {
		return Head{}, 0, kind.Wrap(kind.Internal, err, "the tree's row is damaged")
	}
	return head, rows[0].Version, nil
}

// Log returns up to limit accepted edits with versions higher than after, in
// order.
func (s *Store) Log(ctx context.Context, after uint64, limit int) ([]Entry, error) {
	rows, err := s.Table.Scan(ctx, logPrefix, logKey(after), limit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows))
	for _, r := range rows {
		var e Entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return nil, kind.Wrap(kind.Internal, err, r.Key)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Apply commits an edit and returns its log entry. If an edit with the same ID
// was accepted before, Apply returns that entry and changes nothing. If the
// table's reply is lost, Apply reads back whether the edit was committed; its
// error is of kind Lost only if that read fails too.
func (s *Store) Apply(ctx context.Context, e Edit) (Entry, error) {
	for range maxAttempts {
		entry, done, err := s.applyOnce(ctx, e)
		if done || err != nil {
			return entry, err
		}
	}
	return Entry{}, kind.New(kind.Conflict, "too many concurrent edits")
}

// applyOnce makes one attempt to commit an edit. It returns false without an
// error if another edit was committed first.
func (s *Store) applyOnce(ctx context.Context, e Edit) (Entry, bool, error) {
	if entry, ok, err := s.acceptedEntry(ctx, e.ID); ok || err != nil {
		return entry, ok, err
	}
	head, row, err := s.readHead(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	if err := s.checkConflicts(ctx, e, head); err != nil {
		return Entry{}, false, err
	}
	entry, next, err := s.prepareEntry(e, head)
	if err != nil {
		return Entry{}, false, err
	}
	txn, err := editTxn(entry, next, row)
	if err != nil {
		return Entry{}, false, err
	}
	res, err := s.Table.Commit(ctx, txn)
	if kind.Is(err, kind.Lost) {
		return s.readBack(ctx, e, err)
	}
	return entry, err == nil && len(res.Failed) == 0, err
}

// readBack determines whether an edit was committed after the table's reply was
// lost. If it was not, its transaction may still arrive later. Sending it again
// is safe, because both copies have the same edit ID and only one of them can
// be committed.
func (s *Store) readBack(ctx context.Context, e Edit, lost error) (Entry, bool, error) {
	entry, ok, err := s.acceptedEntry(ctx, e.ID)
	if err != nil {
		return Entry{}, false, kind.Wrap(kind.Lost, lost, "the edit may have been accepted").WithUnknownOutcome(e.ID)
	}
	return entry, ok, nil
}

func (s *Store) acceptedEntry(ctx context.Context, id string) (Entry, bool, error) {
	rows, err := s.Table.Get(ctx, editPrefix+id)
	if err != nil {
		return Entry{}, false, err
	}
	if rows[0].Version == 0 {
		return Entry{}, false, nil
	}
	var e Entry
	if err := json.Unmarshal(rows[0].Value, &e); err != nil {
		return Entry{}, false, kind.Wrap(kind.Internal, err, rows[0].Key)
	}
	return e, true, nil
}

// checkConflicts returns an error of kind Conflict if an edit after e.Base
// changed a path that e changes as well.
func (s *Store) checkConflicts(ctx context.Context, e Edit, head Head) error {
	if e.Base > head.Version {
		return kind.New(kind.Conflict, fmt.Sprintf("version %d does not exist; the tree is at %d", e.Base, head.Version))
	}
	after := e.Base
	for after < head.Version {
		entries, err := s.Log(ctx, after, logPageSize)
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
		for _, other := range entries {
			if err := checkOverlap(e, other); err != nil {
				return err
			}
			after = other.Version
		}
	}
	return nil
}

func checkOverlap(e Edit, other Entry) error {
	for _, mine := range e.Ops {
		p, err := ParsePath(mine.Path)
		if err != nil {
			return err
		}
		for _, theirs := range other.Edit.Ops {
			q, err := ParsePath(theirs.Path)
			if err != nil || !p.Overlaps(q) {
				continue
			}
			detail := fmt.Sprintf("version %d set %s to %s; this edit, made on version %d, sets %s to %s",
				other.Version, theirs.Path, formatValue(theirs.Value), e.Base, mine.Path, formatValue(mine.Value))
			return kind.At(kind.Conflict, mine.Path, detail)
		}
	}
	return nil
}

func formatValue(v json.RawMessage) string {
	if len(v) == 0 {
		return "(unset)"
	}
	return string(v)
}

func (s *Store) prepareEntry(e Edit, head Head) (Entry, *Doc, error) {
	var doc Doc
	if err := json.Unmarshal(head.Doc, &doc); err != nil {
		return Entry{}, nil, kind.Wrap(kind.Internal, err, "the tree's row is damaged")
	}
	next, err := doc.Apply(e.Ops)
	if err != nil {
		return Entry{}, nil, err
	}
	entry := Entry{Version: head.Version + 1, Edit: e, Changes: Diff(&doc, next), At: s.Now().UTC()}
	return entry, next, nil
}

func editTxn(entry Entry, doc *Doc, headVersion uint64) (ports.Txn, error) {
	rawDoc, errDoc := json.Marshal(doc)
	rawHead, errHead := json.Marshal(Head{Version: entry.Version, Doc: rawDoc})
	rawEntry, errEntry := json.Marshal(entry)
	if err := errors.Join(errDoc, errHead, errEntry); err != nil {
		return ports.Txn{}, kind.Wrap(kind.Internal, err, "encode")
	}
	id := editPrefix + entry.Edit.ID
	return ports.Txn{
		Checks: []ports.Check{{Key: headKey, Version: headVersion}, {Key: id}},
		Puts: []ports.Put{
			{Key: headKey, Value: rawHead},
			{Key: versionKey, Value: strconv.AppendUint(nil, entry.Version, 10)},
			{Key: logKey(entry.Version), Value: rawEntry},
			{Key: id, Value: rawEntry},
		},
	}, nil
}

// Register holds the tree in force at one instance. The zero value holds the
// empty tree with version 0.
type Register struct {
	mu      sync.RWMutex
	current *Compiled
}

// Current returns the tree in force.
func (r *Register) Current() *Compiled {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.current == nil {
		return &Compiled{Doc: &Doc{}}
	}
	return r.current
}

// Install makes c the tree in force if its version is higher than the current
// one, and reports whether it did.
func (r *Register) Install(c *Compiled) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && c.Version <= r.current.Version {
		return false
	}
	r.current = c
	return true
}

// InstallHead parses, compiles and installs the tree of a head row, and reports
// whether it was installed.
func (r *Register) InstallHead(h Head) (bool, error) {
	if h.Version <= r.Current().Version {
		return false, nil
	}
	doc, err := Parse(h.Doc)
	if err != nil {
		return false, err
	}
	c, err := Compile(doc, h.Version)
	if err != nil {
		return false, err
	}
	return r.Install(c), nil
}
