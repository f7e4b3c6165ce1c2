// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"dewpass.org/ports"
)

// Table is the test double of the platform's table.
type Table struct {
	faultInjector
	rowsMu  sync.Mutex
	rows    map[string]ports.Row
	version uint64
	commits uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]ports.Row)}
}

// Get returns the rows with the given keys; an absent row has version 0.
func (t *Table) Get(keys ...string) []ports.Row {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	out := make([]ports.Row, 0, len(keys))
	for _, k := range keys {
		out = append(out, t.row(k))
	}
	return out
}

func (t *Table) row(key string) ports.Row {
	if r, ok := t.rows[key]; ok {
		return r
	}
	return ports.Row{Key: key}
}

// Scan returns the rows whose keys have a prefix and are above after, in the order
// of their keys; at most limit of them unless limit is 0.
func (t *Table) Scan(prefix, after string, limit int) []ports.Row {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	out := []ports.Row{}
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}

// Commit carries out a transaction, or returns the rows whose checks failed.
func (t *Table) Commit(x ports.Txn) ports.Commit {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	var out ports.Commit
	for _, c := range x.Checks {
		if r := t.row(c.Key); r.Version != c.Version {
			out.Failed = append(out.Failed, r)
		}
	}
	if len(out.Failed) > 0 {
		return out
	}
	t.version++
	t.commits++
	for _, p := range x.Puts {
		if p.Delete {
			delete(t.rows, p.Key)
			continue
		}
		t.rows[p.Key] = ports.Row{Key: p.Key, Value: p.Value, Version: t.version}
	}
	out.Version = t.version
	return out
}

// Commits returns the number of transactions that were carried out.
func (t *Table) Commits() uint64 {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	return t.commits
}

func (t *Table) getHandler(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, t.Get(r.URL.Query()["key"]...))
}

func (t *Table) scanHandler(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	writeJSON(w, t.Scan(q.Get("prefix"), q.Get("after"), limit))
}

func (t *Table) commitHandler(w http.ResponseWriter, r *http.Request) {
	var x ports.Txn
	if readJSON(w, r, &x) {
		writeJSON(w, t.Commit(x))
	}
}
