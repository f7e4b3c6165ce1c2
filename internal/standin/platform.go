// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Objects is the test double of the object store.
type Objects struct {
	faultInjector
	dataMu sync.Mutex
	data   map[string][]byte
}

// Put stores an object.
func (o *Objects) Put(key string, body []byte) {
	o.dataMu.Lock()
	defer o.dataMu.Unlock()
	if o.data == nil {
		o.data = make(map[string][]byte)
	}
	o.data[key] = body
}

// Get returns an object, or nil.
func (o *Objects) Get(key string) []byte {
	o.dataMu.Lock()
	defer o.dataMu.Unlock()
	return o.data[key]
}

// Delete removes an object.
func (o *Objects) Delete(key string) {
	o.dataMu.Lock()
	defer o.dataMu.Unlock()
	delete(o.data, key)
}

// Keys returns the keys of all objects.
func (o *Objects) Keys() []string {
	o.dataMu.Lock()
	defer o.dataMu.Unlock()
	keys := make([]string, 0, len(o.data))
	for k := range o.data {
		keys = append(keys, k)
	}
	return keys
}

func (o *Objects) handler(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"))
	if err != nil {
		refuse(w, kind.Wrap(kind.BadRequest, err, "key"))
		return
	}
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			refuse(w, kind.Wrap(kind.BadRequest, err, "body"))
			return
		}
		o.Put(key, body)
		return
	}
	if r.Method == http.MethodDelete {
		o.Delete(key)
		return
	}
	body := o.Get(key)
	if body == nil {
		refuse(w, kind.New(kind.NotFound, key))
		return
	}
	_, _ = w.Write(body)
}

// List is the test double of the platform's list of instances. Readers see a
// change only after the lag.
type List struct {
	faultInjector
	listMu  sync.Mutex
	lag     time.Duration
	visible []ports.Instance
	actual  []ports.Instance
	// version counts the changes of visible.
	version int
}

// Put adds or replaces an instance.
func (l *List) Put(in ports.Instance) {
	l.update(func(list []ports.Instance) []ports.Instance {
		list = slices.DeleteFunc(list, func(o ports.Instance) bool { return o.ID == in.ID })
		return append(list, in)
	})
}

// Delete removes an instance.
func (l *List) Delete(id string) {
	l.update(func(list []ports.Instance) []ports.Instance {
		return slices.DeleteFunc(list, func(o ports.Instance) bool { return o.ID == id })
	})
}

// SetLag sets the delay after which readers see a change.
func (l *List) SetLag(d time.Duration) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.lag = d
}

func (l *List) update(f func([]ports.Instance) []ports.Instance) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.actual = f(slices.Clone(l.actual))
	snapshot := l.actual
	show := func() {
		l.visible = snapshot
		l.version++
	}
	if l.lag == 0 {
		show()
		return
	}
	time.AfterFunc(l.lag, func() {
		l.listMu.Lock()
		defer l.listMu.Unlock()
		show()
	})
}

func (l *List) getHandler(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	l.listMu.Lock()
	shown, version := l.visible, strconv.Itoa(l.version)
	l.listMu.Unlock()
	out := ports.Listing{Version: version, Unchanged: q.Get("since") == version}
	if out.Unchanged {
		writeJSON(w, out)
		return
	}
	for _, in := range shown {
		if q.Get("hall") == "" || in.Hall == q.Get("hall") {
			out.Instances = append(out.Instances, in)
		}
	}
	writeJSON(w, out)
}

func (l *List) putHandler(w http.ResponseWriter, r *http.Request) {
	var in ports.Instance
	if readJSON(w, r, &in) {
		l.Put(in)
	}
}

func (l *List) deleteHandler(w http.ResponseWriter, r *http.Request) {
	l.Delete(mux.Vars(r)["id"])
}

// Platform combines the test doubles of the platform.
type Platform struct {
	Table   *Table
	Objects *Objects
	List    *List
	Record  *Record
	workers map[string]*Worker
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		Table:   NewTable(),
		Objects: &Objects{},
		List:    &List{},
		Record:  &Record{},
		workers: make(map[string]*Worker),
	}
}

// AddWorker puts a worker into the list of instances and makes it reachable for
// the handlers of faults and events.
func (p *Platform) AddWorker(w *Worker) {
	p.workers[w.id] = w
	p.List.Put(w.instance())
}

// Handler serves the platform's protocol, and for tests the injected faults
// under /faults, events of workers under /worker and the record under /record.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	table := func(h http.HandlerFunc) http.Handler { return p.Table.wrap(h) }
	r.Handle("/table/rows", table(p.Table.getHandler)).Methods(http.MethodGet)
	r.Handle("/table/scan", table(p.Table.scanHandler)).Methods(http.MethodGet)
	r.Handle("/table/commit", table(p.Table.commitHandler)).Methods(http.MethodPost)
	r.PathPrefix("/objects/").Handler(p.Objects.wrap(http.HandlerFunc(p.Objects.handler)))
	r.Handle("/instances", p.List.wrap(http.HandlerFunc(p.List.getHandler))).Methods(http.MethodGet)
	r.HandleFunc("/instances", p.List.putHandler).Methods(http.MethodPut)
	r.HandleFunc("/instances/{id}", p.List.deleteHandler).Methods(http.MethodDelete)
	r.HandleFunc("/faults/table", p.Table.faultInjector.faultsHandler)
	r.HandleFunc("/faults/objects", p.Objects.faultInjector.faultsHandler)
	r.HandleFunc("/faults/instances", p.List.faultInjector.faultsHandler)
	r.HandleFunc("/faults/worker/{id}", p.workerFaults)
	r.HandleFunc("/worker/{id}/{what:crash|restart|leave|return}", p.workerEvent)
	r.HandleFunc("/record", p.Record.summaryHandler)
	r.HandleFunc("/record/tags", p.Record.tagsHandler)
	r.HandleFunc("/record/events", p.Record.eventsHandler)
	r.HandleFunc("/record/commits", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Table.Commits()) })
	r.HandleFunc("/record/rows", p.rowsHandler)
	r.HandleFunc("/record/objects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Objects.Keys()) })
	return r
}

// rowsHandler reads the table without its faults, for the checks of tests.
func (p *Platform) rowsHandler(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.Table.Scan(r.URL.Query().Get("prefix"), "", 0))
}

func (p *Platform) lookupWorker(w http.ResponseWriter, r *http.Request) *Worker {
	id := mux.Vars(r)["id"]
	worker := p.workers[id]
	if worker == nil {
		refuse(w, kind.New(kind.NotFound, id))
	}
	return worker
}

func (p *Platform) workerFaults(w http.ResponseWriter, r *http.Request) {
	if worker := p.lookupWorker(w, r); worker != nil {
		worker.faultInjector.faultsHandler(w, r)
	}
}

func (p *Platform) workerEvent(w http.ResponseWriter, r *http.Request) {
	worker := p.lookupWorker(w, r)
	if worker == nil {
		return
	}
	switch mux.Vars(r)["what"] {
	case "crash":
		worker.Crash()
	case "restart":
		worker.Restart()
	case "leave":
		worker.Leave(true)
		p.List.Put(worker.instance())
	case "return":
		worker.Leave(false)
		p.List.Put(worker.instance())
	}
}
