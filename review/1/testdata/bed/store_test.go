// SPDX-License-Identifier: Apache-2.0

//go:build review

package bed

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the platform's store, as PROTOCOL.md and the settings of a process give them.
const (
	rowBytes         = 65536
	txBytes          = 1 << 20
	txEntries        = 100
	textBytes        = 200
	pageRows         = 500
	pageBytes        = 1 << 20
	txTime           = 3 * time.Millisecond
	readTime         = 2 * time.Millisecond
	partWritesPerSec = 300
	historyTime      = 20 * time.Second
)

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"gone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type storeTx struct {
	Expect []storeRow `json:"expected_revision"`
	Put    []storeRow `json:"put"`
	Remove []storeRow `json:"remove"`
	Across bool       `json:"across"`
}

type storePage struct {
	Rows []storeRow `json:"rows"`
	More bool       `json:"more"`
	Ver  uint64     `json:"ver"`
	Now  int64      `json:"now_ms"`
}

type change struct {
	storeRow
	at time.Time
}

// store is the platform's store of rows.
type store struct {
	book  *book
	begun time.Time

	mu        sync.Mutex
	rows      map[rowID]storeRow
	feed      []change
	feedStart uint64
	ver       uint64
	busyUntil map[string]time.Time
	changed   chan struct{}
	// conditional counts, by caller, the recent transactions with a condition.
	conditional map[string][]time.Time
	refused     map[string]int
}

func newStore(b *book) *store {
	return &store{
		book: b, begun: time.Now(), rows: make(map[rowID]storeRow), busyUntil: make(map[string]time.Time),
		changed: make(chan struct{}), conditional: make(map[string][]time.Time), refused: make(map[string]int),
	}
}

// forCaller returns the handler for one calling machine.
func (s *store) forCaller(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/dewpass/rows-tx":
			s.tx(w, r, name)
		case "/dewpass/rows-get":
			time.Sleep(readTime)
			s.get(w, r.URL.Query())
		case "/dewpass/rows-feed":
			s.watch(w, r)
		case "/dewpass/rows-parts":
			time.Sleep(readTime)
			s.parts(w, r.URL.Query())
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// invalid returns why a transaction is not one that the store takes, "" if it is.
func (t *storeTx) invalid(body int) string {
	all := slices.Concat(t.Expect, t.Put, t.Remove)
	switch {
	case body > txBytes:
		return "the transaction has " + strconv.Itoa(body) + " bytes"
	case len(all) == 0 || len(all) > txEntries:
		return "the transaction has " + strconv.Itoa(len(all)) + " entries"
	}
	for i := range all {
		r := &all[i]
		switch {
		case r.Part != all[0].Part && !t.Across:
			return "several parts"
		case len(r.Key) > textBytes || len(r.Part) > textBytes || len(r.Table) > textBytes:
			return "a key is too long"
		case len(r.Value) > rowBytes:
			return "the value of " + r.Table + "/" + r.Part + "/" + r.Key + " has " + strconv.Itoa(len(r.Value)) + " bytes"
		}
	}
	return ""
}

func (s *store) tx(w http.ResponseWriter, r *http.Request, caller string) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t storeTx
	if err := json.Unmarshal(raw, &t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if why := t.invalid(len(raw)); why != "" {
		s.noteRefused(caller, why)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if slices.ContainsFunc(slices.Concat(t.Put, t.Remove), func(r storeRow) bool { return r.Table == "servers" }) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	wait, ok := s.enqueue(&t)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(wait)
	s.mu.Lock()
	if len(t.Expect) > 0 {
		now := time.Now()
		recent := slices.DeleteFunc(s.conditional[caller], func(at time.Time) bool { return now.Sub(at) > time.Second })
		s.conditional[caller] = append(recent, now)
	}
	holds, rows := true, []storeRow{}
	for i := range t.Expect {
		e := &t.Expect[i]
		now, found := s.rows[e.id()]
		if !found {
			now = storeRow{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		rows = append(rows, now)
		holds = holds && now.Ver == e.Ver
	}
	status := http.StatusPreconditionFailed
	if holds {
		status, rows = http.StatusOK, []storeRow{}
		s.apply(&t)
	}
	page := s.page(rows)
	s.mu.Unlock()
	answer(w, status, page)
}

// noteRefused records the first refusals of each caller.
func (s *store) noteRefused(caller, why string) {
	s.mu.Lock()
	s.refused[caller]++
	n := s.refused[caller]
	s.mu.Unlock()
	if n <= 3 || n%200 == 0 {
		s.book.note("the store answers 400 to %s (%d in all): %s", caller, n, why)
	}
}

// enqueue returns how long a transaction takes, and false if its part has more than a second waiting.
func (s *store) enqueue(t *storeTx) (time.Duration, bool) {
	cost := time.Second / partWritesPerSec
	if t.Across {
		cost *= 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	free, parts := now, map[string]bool{}
	for _, r := range slices.Concat(t.Expect, t.Put, t.Remove) {
		parts[r.Part] = true
		if s.busyUntil[r.Part].After(free) {
			free = s.busyUntil[r.Part]
		}
	}
	if free.Sub(now) > time.Second {
		return 0, false
	}
	for part := range parts {
		s.busyUntil[part] = free.Add(cost)
	}
	return max(free.Add(cost).Sub(now), txTime), true
}

// apply carries out a transaction. The lock is held.
func (s *store) apply(t *storeTx) {
	s.ver++
	now := time.Now()
	for _, r := range t.Put {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.id()] = r
		s.feed = append(s.feed, change{r, now})
	}
	for _, r := range t.Remove {
		if _, found := s.rows[r.id()]; found {
			delete(s.rows, r.id())
			s.feed = append(s.feed, change{storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true}, now})
		}
	}
	for len(s.feed) > 0 && now.Sub(s.feed[0].at) > historyTime {
		s.feedStart = s.feed[0].Ver
		s.feed = s.feed[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns an answer. The lock is held.
func (s *store) page(rows []storeRow) storePage {
	return storePage{Rows: rows, Ver: s.ver, Now: time.Since(s.begun).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, q url.Values) {
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	var found []storeRow
	to := q.Get("target_version")
	for id, r := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (to == "" || id.key < to) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(found) && n < limit && size < pageBytes {
		size += len(found[n].Value)*4/3 + len(found[n].Key) + 80
		n++
	}
	page := s.page(append([]storeRow{}, found[:n]...))
	page.More = n < len(found)
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if since < s.feedStart {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []storeRow{}
		for _, c := range s.feed {
			if c.Ver > since && c.Table == q.Get("table") {
				found = append(found, c.storeRow)
			}
		}
		page, changed := s.page(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 || wait == 0 {
			answer(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	var names []string
	for id := range s.rows {
		if id.table == q.Get("table") && id.part > q.Get("depends_on") && !slices.Contains(names, id.part) {
			names = append(names, id.part)
		}
	}
	ver, now := s.ver, time.Since(s.begun).Milliseconds()
	s.mu.Unlock()
	slices.Sort(names)
	answer(w, http.StatusOK, map[string]any{"parts": names[:min(len(names), 1000)], "more": len(names) > 1000, "ver": ver, "now_ms": now})
}

// put writes a row as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&storeTx{Put: []storeRow{{Table: table, Key: key, Value: raw}}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&storeTx{Remove: []storeRow{{Table: table, Key: key}}})
}

// leader returns the caller that has written most under a condition within the last second.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, most, now := "", 0, time.Now()
	for name, all := range s.conditional {
		n := 0
		for _, at := range all {
			if now.Sub(at) <= time.Second {
				n++
			}
		}
		if n > most {
			best, most = name, n
		}
	}
	return best
}

func answer(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	// The caller may have gone; there is nobody else to tell.
	_, _ = w.Write(raw)
}
