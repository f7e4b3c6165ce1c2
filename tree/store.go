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

// The rows of the tree in the platform's table.
const (
	headKey    = "tree/head"
	versionKey = "tree/version"
	logPrefix  = "tree/log/"
	idPrefix   = "tree/edit/"
)

const (
	maxRebases = 16
	logPage    = 200
)

// Head is the row that holds the tree.
type Head struct {
	Version uint64          `json:"version"`
	Doc     json.RawMessage `json:"doc"`
}

// Edit is a change to the tree.
type Edit struct {
	// ID makes a repeated edit safe. It must be new for each edit.
	ID string `json:"id"`
	// Base is the version that the operator saw.
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
	// Now returns the time for the log.
	Now func() time.Time
}

func logKey(version uint64) string { return fmt.Sprintf("%s%020d", logPrefix, version) }

// Load returns the tree as it stands. An empty table has version 0.
func (s *Store) Load(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

// Version returns the version of the tree as it stands. It reads a row of a
// few bytes, so that asking often costs little.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	rows, err := s.Table.Get(ctx, versionKey)
	if err != nil || rows[0].Version == 0 {
		return 0, err
	}
	version, err := strconv.ParseUint(string(rows[0].Value), 10, 64)
	if err != nil {
		return 0, kind.Wrap(kind.Internal, err, "the row of the tree's version is damaged")
	}
	return version, nil
}

func (s *Store) head(ctx context.Context) (Head, uint64, error) {
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

// Log returns up to limit accepted edits after a version, in order.
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

// Apply makes an edit and returns the tree with it. An edit whose ID was
// accepted before is not made again: its entry comes back. When the answer of
// the table is lost, Apply reads back whether the edit took effect; only when
// that cannot be found out either is its error of kind Lost.
func (s *Store) Apply(ctx context.Context, e Edit) (Entry, error) {
	for range maxRebases {
		entry, done, err := s.try(ctx, e)
		if done || err != nil {
			return entry, err
		}
	}
	return Entry{}, kind.New(kind.Conflict, "too many other edits at once")
}

// try makes one attempt. It reports false when another edit came in between.
func (s *Store) try(ctx context.Context, e Edit) (Entry, bool, error) {
	if entry, ok, err := s.accepted(ctx, e.ID); ok || err != nil {
		return entry, ok, err
	}
	head, row, err := s.head(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	if err := s.rebase(ctx, e, head); err != nil {
		return Entry{}, false, err
	}
	entry, next, err := s.prepare(e, head)
	if err != nil {
		return Entry{}, false, err
	}
	txn, err := edited(entry, next, row)
	if err != nil {
		return Entry{}, false, err
	}
	res, err := s.Table.Commit(ctx, txn)
	if kind.Is(err, kind.Lost) {
		return s.readBack(ctx, e, err)
	}
	return entry, err == nil && len(res.Failed) == 0, err
}

// readBack finds out what became of an edit whose answer was lost. When it is
// not there, its transaction may still arrive: trying again is safe, because
// both carry the same edit id and only one of them can be committed.
func (s *Store) readBack(ctx context.Context, e Edit, lost error) (Entry, bool, error) {
	entry, ok, err := s.accepted(ctx, e.ID)
	if err != nil {
		return Entry{}, false, kind.Wrap(kind.Lost, lost, "the edit may have been accepted").Uncertain(e.ID)
	}
	return entry, ok, nil
}

func (s *Store) accepted(ctx context.Context, id string) (Entry, bool, error) {
	rows, err := s.Table.Get(ctx, idPrefix+id)
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

// rebase returns a conflict if an edit after e.Base touched the same paths.
func (s *Store) rebase(ctx context.Context, e Edit, head Head) error {
	if e.Base > head.Version {
		return kind.New(kind.Conflict, fmt.Sprintf("version %d does not exist; the tree is at %d", e.Base, head.Version))
	}
	after := e.Base
	for after < head.Version {
		entries, err := s.Log(ctx, after, logPage)
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
		for _, other := range entries {
			if err := collide(e, other); err != nil {
				return err
			}
			after = other.Version
		}
	}
	return nil
}

func collide(e Edit, other Entry) error {
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
				other.Version, theirs.Path, shown(theirs.Value), e.Base, mine.Path, shown(mine.Value))
			return kind.At(kind.Conflict, mine.Path, detail)
		}
	}
	return nil
}

func shown(v json.RawMessage) string {
	if len(v) == 0 {
		return "(unset)"
	}
	return string(v)
}

func (s *Store) prepare(e Edit, head Head) (Entry, *Doc, error) {
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

func edited(entry Entry, doc *Doc, row uint64) (ports.Txn, error) {
	rawDoc, errDoc := json.Marshal(doc)
	rawHead, errHead := json.Marshal(Head{Version: entry.Version, Doc: rawDoc})
	rawEntry, errEntry := json.Marshal(entry)
	if err := errors.Join(errDoc, errHead, errEntry); err != nil {
		return ports.Txn{}, kind.Wrap(kind.Internal, err, "encode")
	}
	id := idPrefix + entry.Edit.ID
	return ports.Txn{
		Checks: []ports.Check{{Key: headKey, Version: row}, {Key: id}},
		Puts: []ports.Put{
			{Key: headKey, Value: rawHead},
			{Key: versionKey, Value: strconv.AppendUint(nil, entry.Version, 10)},
			{Key: logKey(entry.Version), Value: rawEntry},
			{Key: id, Value: rawEntry},
		},
	}, nil
}

// Register holds the tree in force at one instance. Its zero value holds the
// empty tree with version 0.
type Register struct {
	mu  sync.RWMutex
	now *Compiled
}

// Now returns the tree in force.
func (r *Register) Now() *Compiled {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.now == nil {
		return &Compiled{Doc: &Doc{}}
	}
	return r.now
}

// Install puts a tree in force if its version is higher than the one that is,
// and reports whether it did.
func (r *Register) Install(c *Compiled) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now != nil && c.Version <= r.now.Version {
		return false
	}
	r.now = c
	return true
}

// InstallHead checks and compiles a head and installs it.
func (r *Register) InstallHead(h Head) (bool, error) {
	if h.Version <= r.Now().Version {
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
