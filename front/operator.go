// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/internal/uid"
	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

const treeLogPageSize = 200

// TreeView is the answer to a query for the tree or a part of it.
type TreeView struct {
	Version uint64          `json:"version"`
	Path    string          `json:"path,omitempty"`
	Value   json.RawMessage `json:"value"`
}

// tree answers with the tree in the table, or with the one in force here if the
// table cannot be reached. ?in-force=1 asks for the one in force, ?from=table for
// the one in the table or an error.
func (f *Front) tree(r *http.Request) (*response, error) {
	p, err := tree.ParsePath(r.URL.Query().Get("path"))
	if err != nil {
		return nil, err
	}
	now := f.Tree.Current()
	doc, version := now.Doc, now.Version
	if r.URL.Query().Get("in-force") == "" {
		head, err := f.Store.Load(r.Context())
		if err != nil && r.URL.Query().Get("from") == "table" {
			return nil, err
		}
		if err == nil {
			doc, version = new(tree.Doc), head.Version
			if err := json.Unmarshal(head.Doc, doc); err != nil {
				return nil, kind.Wrap(kind.Internal, err, "the tree's row is damaged")
			}
		}
	}
	value := doc.Get(p)
	if value == nil {
		return nil, kind.At(kind.NotFound, p.String(), "nothing is set there")
	}
	return ok(TreeView{Version: version, Path: p.String(), Value: value})
}

func (f *Front) treeLog(r *http.Request) (*response, error) {
	after, err := strconv.ParseUint("0"+r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return nil, kind.At(kind.BadRequest, "?after", "must be a version")
	}
	entries, err := f.Store.Log(r.Context(), after, treeLogPageSize)
	if err != nil {
		return nil, err
	}
	return ok(entries)
}

func (f *Front) treeEdit(r *http.Request) (*response, error) {
	raw, err := readBody(r)
	if err != nil {
		return nil, err
	}
	var edit tree.Edit
	if err := json.Unmarshal(raw, &edit); err != nil {
		return nil, kind.At(kind.BadRequest, "/", err.Error())
	}
	if len(edit.Ops) == 0 {
		return nil, kind.At(kind.BadRequest, "/ops", "an edit needs at least one step")
	}
	if edit.ID == "" {
		edit.ID = uid.New()
	}
	fault.At(fault.EditChecked)
	entry, err := f.Store.Apply(r.Context(), edit)
	if err != nil {
		return nil, err
	}
	fault.At(fault.EditWritten)
	if head, err := f.Store.Load(r.Context()); err == nil {
		_, _ = f.Tree.InstallHead(head)
	}
	fault.At(fault.EditInstalled)
	return ok(entry)
}

func (f *Front) treeCheck(r *http.Request) (*response, error) {
	raw, err := readBody(r)
	if err != nil {
		return nil, err
	}
	doc, err := tree.Parse(raw)
	if err != nil {
		return nil, err
	}
	c, err := tree.Compile(doc, 0)
	if err != nil {
		return nil, err
	}
	return ok(c.WorkloadPaths())
}

func (f *Front) workloads(*http.Request) (*response, error) {
	return ok(f.Tree.Current().WorkloadPaths())
}

func (f *Front) workload(r *http.Request) (*response, error) {
	w, err := f.Tree.Current().Lookup(mux.Vars(r)["path"])
	if err != nil {
		return nil, err
	}
	return ok(w)
}

// Status is the answer to a query for the state of all halls.
type Status struct {
	Instance    string           `json:"instance"`
	Hall        string           `json:"hall"`
	TreeVersion uint64           `json:"tree_version"`
	CutOff      bool             `json:"cut_off"`
	Instances   []InstanceStatus `json:"instances"`
	Racks       []RackStatus     `json:"racks"`
}

// InstanceStatus is the state of an instance.
type InstanceStatus struct {
	Instance    string `json:"instance"`
	Hall        string `json:"hall"`
	TreeVersion uint64 `json:"tree_version"`
	Leaving     bool   `json:"leaving"`
	CutOff      bool   `json:"cut_off"`
	Racks       int    `json:"racks"`
}

// RackStatus is the state of a rack.
type RackStatus struct {
	Rack     string  `json:"rack"`
	Hall     string  `json:"hall"`
	Owner    string  `json:"owner"`
	Epoch    string  `json:"epoch"`
	Workers  uint32  `json:"workers"`
	Attached uint32  `json:"attached"`
	Running  uint32  `json:"running"`
	Queued   uint32  `json:"queued"`
	Used     float64 `json:"used"`
	// WaitMS is how long new bulk work would wait at the owner, in milliseconds.
	WaitMS uint32 `json:"wait_ms"`
}

func (f *Front) status(r *http.Request) (*response, error) {
	s := f.HallStatus()
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	for _, h := range f.Peers.Halls(clock.Now()) {
		if h != f.Hall {
			s.merge(f.queryHall(ctx, h))
		}
	}
	s.sort()
	return ok(s)
}

// statusTimeout bounds the time for querying other halls.
const statusTimeout = 2 * time.Second

// queryHall returns the state of a hall as one of its live peers knows it.
func (f *Front) queryHall(ctx context.Context, hall string) Status {
	for _, p := range f.Peers.Live(hall, clock.Now()) {
		req := &wire.Request{Body: &wire.Request_Status{Status: &wire.StatusQuery{}}}
		reply, err := f.Send.Do(ctx, p.Addr, req)
		if err != nil {
			continue
		}
		var s Status
		if err := json.Unmarshal(reply.GetStatus().GetStatus(), &s); err == nil {
			return s
		}
	}
	return Status{}
}

func (s *Status) merge(o Status) {
	s.Instances = append(s.Instances, o.Instances...)
	s.Racks = append(s.Racks, o.Racks...)
}

// HallStatus returns the state of this hall as known to this instance.
func (f *Front) HallStatus() Status {
	now := clock.Now()
	s := Status{
		Instance: f.Instance, Hall: f.Hall, TreeVersion: f.Tree.Current().Version, CutOff: f.CutOff(),
	}
	s.add(InstanceStatus{
		Instance: f.Instance, Hall: f.Hall, TreeVersion: s.TreeVersion, CutOff: s.CutOff,
	}, f.Owner.Summary())
	for _, p := range f.Peers.Live(f.Hall, now) {
		s.add(InstanceStatus{
			Instance: p.Instance, Hall: p.Hall, TreeVersion: p.TreeVersion,
			Leaving: p.Leaving, CutOff: p.CutOff,
		}, p.Racks)
	}
	return s
}

func (s *Status) sort() {
	sort.Slice(s.Racks, func(i, j int) bool { return s.Racks[i].Rack < s.Racks[j].Rack })
	sort.Slice(s.Instances, func(i, j int) bool { return s.Instances[i].Instance < s.Instances[j].Instance })
}

func (s *Status) add(in InstanceStatus, racks []*wire.Rack) {
	in.Racks = len(racks)
	s.Instances = append(s.Instances, in)
	for _, r := range racks {
		s.Racks = append(s.Racks, RackStatus{
			Rack: r.Rack, Hall: in.Hall, Owner: in.Instance,
			Epoch:   lease.Epoch{Table: r.EpochTable, Local: r.EpochLocal}.String(),
			Workers: r.Workers, Attached: r.Attached, Running: r.Running, Queued: r.Queued,
			Used: utilization(r), WaitMS: r.WaitMs,
		})
	}
}

// utilization returns the used share of a rack's scarcest resource, from 0 to 1.
func utilization(r *wire.Rack) float64 {
	var most float64
	for i := range r.Capacity {
		if i < len(r.Free) && r.Capacity[i] > 0 {
			most = max(most, 1-float64(r.Free[i])/float64(r.Capacity[i]))
		}
	}
	return most
}
