// SPDX-License-Identifier: Apache-2.0

package world

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row as the protocol encodes it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *storeRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type storeTx struct {
	Expect []storeRow `json:"expected_revision"`
	Put    []storeRow `json:"put"`
	Remove []storeRow `json:"remove"`
}

type storePage struct {
	Rows []storeRow `json:"rows"`
	More bool       `json:"more"`
	Ver  uint64     `json:"ver"`
	Now  int64      `json:"now_ms"`
}

// StoreFaults are the faults that can be injected into a Store.
type StoreFaults struct {
	// Delay is added to the latency of every call.
	Delay time.Duration
	// Silent ignores every call and never responds; Busy refuses every call.
	Silent, Busy bool
	// Lose is the fraction of writes that take effect but get no response. They take
	// effect only after Late if it is set.
	Lose float64
	Late time.Duration
	// LoseTables restricts Lose to writes that put a row into one of these tables; empty means all.
	LoseTables []string
	// PartWrites is the number of writes that each part handles per second, one after
	// another; 0 means no limit. Writes are refused while more than a second's worth
	// is queued.
	PartWrites int
	// Only restricts the faults to callers with these IP addresses; empty means all.
	Only []string
}

// Store is the test double of the platform's store of rows.
type Store struct {
	mu   sync.Mutex
	rows map[rowKey]storeRow
	// feed holds the changes after version feedStart.
	feed      []storeRow
	feedStart uint64
	ver       uint64
	faults    StoreFaults
	// busyUntil holds the time at which each part will have handled its queued writes.
	busyUntil map[string]time.Time
	random    *rand.Rand
	// calls counts the calls by path.
	calls map[string]int
	begun time.Time
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newStore(seed uint64) *Store {
	return &Store{
		rows: make(map[rowKey]storeRow), calls: make(map[string]int), busyUntil: make(map[string]time.Time), begun: time.Now(),
		random: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ForgetHistory drops all changes from the feed; readers that ask for older ones get status 410.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed = nil
	s.feedStart = s.ver
}

// Put writes a row unconditionally, as operators and workers do.
func (s *Store) Put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&storeTx{Put: []storeRow{{Table: table, Key: key, Value: raw}}})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&storeTx{Remove: []storeRow{{Table: table, Key: key}}})
}

// Count returns the number of rows of a table.
func (s *Store) Count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.rows {
		if k.table == table {
			n++
		}
	}
	return n
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// apply carries out a transaction unconditionally. The lock must be held.
func (s *Store) apply(t *storeTx) {
	s.ver++
	for _, r := range t.Put {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.id()] = r
		s.feed = append(s.feed, r)
	}
	for _, r := range t.Remove {
		delete(s.rows, r.id())
		s.feed = append(s.feed, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// checkExpected reports whether the rows have the versions that a transaction expects, and
// returns these rows as they are now. The lock must be held.
func (s *Store) checkExpected(t *storeTx) (bool, []storeRow) {
	ok := true
	var now []storeRow
	for _, e := range t.Expect {
		r, found := s.rows[e.id()]
		if !found {
			r = storeRow{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		now = append(now, r)
		ok = ok && r.Ver == e.Ver
	}
	return ok, now
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	s.mu.Unlock()
	if len(f.Only) > 0 {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		if !slices.Contains(f.Only, host) {
			f = StoreFaults{}
		}
	}
	switch {
	case f.Silent:
		<-r.Context().Done()
		return
	case f.Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(f.Delay)
	switch r.URL.Path {
	case "/dewpass/rows-tx":
		s.handleTx(w, r, f)
	case "/dewpass/rows-get":
		s.handleGet(w, r)
	case "/dewpass/rows-feed":
		s.handleFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) handleTx(w http.ResponseWriter, r *http.Request, f StoreFaults) {
	var t storeTx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || !validTx(&t) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, ok := s.enqueue(&t, f.PartWrites)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(wait)
	s.mu.Lock()
	lose := f.Lose > 0 && t.puts(f.LoseTables) && s.random.Float64() < f.Lose
	s.mu.Unlock()
	if lose && f.Late > 0 {
		time.AfterFunc(f.Late, func() { s.applyIfExpected(&t) })
		<-r.Context().Done()
		return
	}
	status, page := s.applyIfExpected(&t)
	if lose {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, page)
}

// maxPartQueue limits the queue of a part, as the time that its queued writes take.
const maxPartQueue = time.Second

// enqueue adds a transaction to the queues of its parts, each of which handles perSecond writes. It
// returns the time until the transaction is handled, and false if it is refused because a queue is full.
func (s *Store) enqueue(t *storeTx, perSecond int) (time.Duration, bool) {
	if perSecond == 0 {
		return 0, true
	}
	cost := time.Second / time.Duration(perSecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	free := now
	for _, part := range t.parts() {
		if s.busyUntil[part].After(free) {
			free = s.busyUntil[part]
		}
	}
	if free.Sub(now) > maxPartQueue {
		return 0, false
	}
	for _, part := range t.parts() {
		s.busyUntil[part] = free.Add(cost)
	}
	return free.Add(cost).Sub(now), true
}

// puts reports whether a transaction puts a row into one of some tables, or whether these are empty.
func (t *storeTx) puts(tables []string) bool {
	return len(tables) == 0 || slices.ContainsFunc(t.Put, func(r storeRow) bool { return slices.Contains(tables, r.Table) })
}

// parts returns the distinct parts of the rows of a transaction.
func (t *storeTx) parts() []string {
	var out []string
	for _, r := range slices.Concat(t.Expect, t.Put, t.Remove) {
		if !slices.Contains(out, r.Part) {
			out = append(out, r.Part)
		}
	}
	return out
}

// applyIfExpected carries out a transaction if the rows have the expected versions.
func (s *Store) applyIfExpected(t *storeTx) (int, storePage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, now := s.checkExpected(t)
	if !ok {
		return http.StatusPreconditionFailed, s.page(now)
	}
	s.apply(t)
	return http.StatusOK, s.page(nil)
}

// validTx reports whether a transaction is valid: at least one row and no more than the limits
// allow, all in one part. Some stores take none over several parts.
func validTx(t *storeTx) bool {
	all := slices.Concat(t.Expect, t.Put, t.Remove)
	size := 0
	for i := range all {
		if !all[i].withinLimits() || all[i].Part != all[0].Part {
			return false
		}
		size += len(all[i].Value)
	}
	return len(all) > 0 && len(all) <= maxTxRows && size <= maxTxBytes
}

func (s *Store) page(rows []storeRow) storePage {
	if rows == nil {
		rows = []storeRow{}
	}
	return storePage{Rows: rows, Ver: s.ver, Now: time.Since(s.begun).Milliseconds()}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	writeJSON(w, http.StatusOK, s.list(q, limit))
}

// list returns the rows that match a query, at most limit of them. The caller writes the
// response without the lock, so that a slow reader does not block all other callers.
func (s *Store) list(q url.Values, limit int) storePage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	to := q.Get("target_version")
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (to == "" || k.key < to) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	page := s.page(firstPage(found, limit))
	page.More = len(found) > len(page.Rows)
	return page
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.feedStart {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var found []storeRow
		for _, row := range s.feed {
			if row.Ver > since && row.Table == q.Get("table") {
				found = append(found, row)
			}
		}
		page, moved := s.page(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-moved:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has gone; there is nobody else to report it to.
	_ = json.NewEncoder(w).Encode(v)
}

// CountContaining returns the number of rows of a table whose value contains a text.
func (s *Store) CountContaining(table, text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k, row := range s.rows {
		if k.table == table && strings.Contains(string(row.Value), text) {
			n++
		}
	}
	return n
}

// Value returns the value of a row, nil if it is absent.
func (s *Store) Value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}
