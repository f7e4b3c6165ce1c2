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

// storeRow is a row as the protocol writes it.
type storeRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *storeRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

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

// StoreFaults are the switches of a Store.
type StoreFaults struct {
	// Delay is added to every answer.
	Delay time.Duration
	// Silent leaves every call without an answer and without effect, Busy turns
	// every call away.
	Silent, Busy bool
	// Lose is the share of writes that take effect and get no answer; with Late
	// they take effect after that time.
	Lose float64
	Late time.Duration
	// PartWrites is how many writes a second one part handles, one after another;
	// 0 is any number. Beyond a second's worth that waits it turns them away.
	PartWrites int
	// Only holds the faults to callers with these addresses, if any are named.
	Only []string
}

// Store is the stand-in of the store.
type Store struct {
	mu     sync.Mutex
	rows   map[rowKey]storeRow
	feed   []storeRow
	first  uint64
	ver    uint64
	faults StoreFaults
	// busy is until when each part has writes to handle.
	busy   map[string]time.Time
	random *rand.Rand
	// Calls counts the calls, by path.
	calls map[string]int
	begun time.Time
	moved chan struct{}
}

func newStore(seed uint64) *Store {
	return &Store{
		rows: make(map[rowKey]storeRow), calls: make(map[string]int), busy: make(map[string]time.Time), begun: time.Now(),
		random: rand.New(rand.NewPCG(seed, 1)), moved: make(chan struct{}),
	}
}

// Fail sets the faults.
func (s *Store) Fail(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ForgetHistory drops what the feed knows.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed = nil
	s.first = s.ver
}

// Put writes a row without conditions, as operators and workers do.
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

// Count returns how many rows a table has.
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

// Calls returns how many calls a path has had.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// apply carries out a transaction whose conditions hold. The lock is held.
func (s *Store) apply(t *storeTx) {
	s.ver++
	for _, r := range t.Put {
		r.Ver, r.Gone = s.ver, false
		s.rows[r.id()] = r
		s.feed = append(s.feed, r)
	}
	for _, r := range t.Remove {
		delete(s.rows, r.id())
		s.feed = append(s.feed, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Gone: true})
	}
	close(s.moved)
	s.moved = make(chan struct{})
}

// holds reports whether the conditions of a transaction hold, and the rows as
// they stand.
func (s *Store) holds(t *storeTx) (bool, []storeRow) {
	ok := true
	var now []storeRow
	for _, e := range t.Expect {
		r, there := s.rows[e.id()]
		if !there {
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
		s.tx(w, r, f)
	case "/dewpass/rows-get":
		s.get(w, r)
	case "/dewpass/rows-feed":
		s.feedSince(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request, f StoreFaults) {
	var t storeTx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || !onePart(&t) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, ok := s.queue(&t, f.PartWrites)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(wait)
	s.mu.Lock()
	lose := f.Lose > 0 && s.random.Float64() < f.Lose
	s.mu.Unlock()
	if lose && f.Late > 0 {
		time.AfterFunc(f.Late, func() { s.try(&t) })
		<-r.Context().Done()
		return
	}
	status, page := s.try(&t)
	if lose {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, page)
}

// partWaitMost is how much work a part takes on at most.
const partWaitMost = time.Second

// queue puts a transaction behind the others of its parts, of which each handles
// perSecond; a transaction across parts takes twice as long. It returns when its
// turn comes, and false if it is turned away.
func (s *Store) queue(t *storeTx, perSecond int) (time.Duration, bool) {
	if perSecond == 0 {
		return 0, true
	}
	cost := time.Second / time.Duration(perSecond)
	if t.Across {
		cost *= 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	free := now
	for _, part := range t.parts() {
		if s.busy[part].After(free) {
			free = s.busy[part]
		}
	}
	if free.Sub(now) > partWaitMost {
		return 0, false
	}
	for _, part := range t.parts() {
		s.busy[part] = free.Add(cost)
	}
	return free.Add(cost).Sub(now), true
}

// parts returns the parts of all entries, each once.
func (t *storeTx) parts() []string {
	var out []string
	for _, r := range slices.Concat(t.Expect, t.Put, t.Remove) {
		if !slices.Contains(out, r.Part) {
			out = append(out, r.Part)
		}
	}
	return out
}

// try carries out a transaction if its conditions hold.
func (s *Store) try(t *storeTx) (int, storePage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, now := s.holds(t)
	if !ok {
		return http.StatusPreconditionFailed, s.page(now)
	}
	s.apply(t)
	return http.StatusOK, s.page(nil)
}

// onePart reports whether a transaction stays in one part or says that it does
// not.
func onePart(t *storeTx) bool {
	all := slices.Concat(t.Expect, t.Put, t.Remove)
	for i := range all {
		if all[i].Part != all[0].Part && !t.Across {
			return false
		}
	}
	return len(all) > 0 && len(all) <= 100
}

func (s *Store) page(rows []storeRow) storePage {
	if rows == nil {
		rows = []storeRow{}
	}
	return storePage{Rows: rows, Ver: s.ver, Now: time.Since(s.begun).Milliseconds()}
}

const pageRows = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	writeJSON(w, http.StatusOK, s.list(q, limit))
}

// list returns the rows that a query asks for, limit at most. The answer is written
// without the lock, so that one slow reader does not hold up every other caller.
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
	page := s.page(found[:min(len(found), limit)])
	page.More = len(found) > limit
	return page
}

func (s *Store) feedSince(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.first {
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
		page, moved := s.page(found), s.moved
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
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Value returns the value of a row, nil if it is absent.
func (s *Store) Value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}
