// SPDX-License-Identifier: Apache-2.0

package tree

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"

	"dewpass.org/internal/schema"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/sched"
)

// Kind is the kind of a workload, which decides how its tasks are started.
type Kind string

// The kinds of workload.
const (
	Call    Kind = "call"
	Batch   Kind = "batch"
	Service Kind = "service"
)

// CutOff says what happens to the tasks of a hall that can no longer be reached.
type CutOff string

const (
	// CutOffHold does not start such a task elsewhere until its hall is reachable again
	// or an operator marks the hall as lost.
	CutOffHold CutOff = "hold"
	// CutOffMove starts the task elsewhere after MoveAfter. The unreachable hall stops
	// it on its own before then.
	CutOffMove CutOff = "move"
)

// Workload is a workload with all of its settings resolved.
type Workload struct {
	Path string `json:"path"`
	// Team is the path of the nearest branch with a quota, or of the top-level
	// branch if there is none.
	Team        string                `json:"team"`
	Kind        Kind                  `json:"kind"`
	Class       sched.Class           `json:"class"`
	Demand      sched.Vec             `json:"demand"`
	Repeat      ports.Repeat          `json:"repeat"`
	Deadline    time.Duration         `json:"deadline"`
	StartWithin time.Duration         `json:"start_within"`
	Estimate    time.Duration         `json:"estimate"`
	Queue       int                   `json:"queue"`
	Rate        float64               `json:"rate"`
	Window      *Window               `json:"window,omitempty"`
	Ladder      sched.PreemptionModes `json:"ladder"`
	Retries     int                   `json:"retries"`
	CutOff      CutOff                `json:"cut_off"`
	MoveAfter   time.Duration         `json:"move_after"`
	Count       int                   `json:"count"`
	// Keep is how long a job, its answer and its request key are retained after
	// the job has ended.
	Keep time.Duration `json:"keep"`
	// Values holds every setting in force and the branch that sets it.
	Values map[string]Value `json:"values"`
}

// Value is the value of a setting in force.
type Value struct {
	Value json.RawMessage `json:"value"`
	// From is the path of the branch that sets the value: "" for the root,
	// "default" for a built-in default.
	From string `json:"from"`
}

// Team is a branch with a quota, or a top-level branch.
type Team struct {
	Path   string    `json:"path"`
	Quota  sched.Vec `json:"quota"`
	Borrow bool      `json:"borrow"`
}

// Compiled is a resolved tree. It is immutable.
type Compiled struct {
	Version   uint64
	Doc       *Doc
	Workloads map[string]*Workload
	Teams     map[string]Team
	// Halls lists the halls that the tree names; it may be empty.
	Halls []string
	// Lost holds the halls and workers that an operator has marked as lost.
	Lost map[string]bool
	// Reserve is the number of calls for which each owner always keeps capacity.
	Reserve int64
}

// WorkloadPaths returns the paths of the workloads in sorted order.
func (c *Compiled) WorkloadPaths() []string {
	names := make([]string, 0, len(c.Workloads))
	for name := range c.Workloads {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Compile resolves a document that Parse has accepted.
func Compile(d *Doc, version uint64) (*Compiled, error) {
	c, faults := compileDoc(d, version)
	if len(faults) > 0 {
		return nil, badTreeError(faults)
	}
	return c, nil
}

// defaults holds the built-in values of settings that no branch sets.
var defaults = map[string]string{
	"class":        `"standard"`,
	"accelerators": `0`,
	"connections":  `1`,
	"repeat":       `"safe"`,
	"deadline":     `"0s"`,
	"start-within": `"0s"`,
	"estimate":     `"0s"`,
	"queue":        `1000`,
	"rate":         `100000`,
	"yield":        `[]`,
	"retries":      `3`,
	"cut-off":      `"hold"`,
	"move-after":   `"10m"`,
	"borrow":       `true`,
	"keep":         `"168h"`,
}

// DefaultKeep is the built-in value of the setting keep.
const DefaultKeep = 168 * time.Hour

type compiler struct {
	compiled *Compiled
	faults   []schema.Fault
}

func compileDoc(d *Doc, version uint64) (*Compiled, []schema.Fault) {
	c := &compiler{compiled: &Compiled{
		Version:   version,
		Doc:       d,
		Workloads: make(map[string]*Workload),
		Teams:     make(map[string]Team),
		Lost:      make(map[string]bool),
	}}
	inherited := make(map[string]Value, len(defaults))
	for name, v := range defaults {
		inherited[name] = Value{Value: json.RawMessage(v), From: "default"}
	}
	c.compileRoot(&d.Branch)
	c.compileBranch(nil, &d.Branch, inherited, "")
	c.checkReferences()
	sort.Slice(c.faults, func(i, j int) bool { return c.faults[i].Path < c.faults[j].Path })
	return c.compiled, c.faults
}

func (c *compiler) addFault(names []string, setting, detail string) {
	path := ""
	for _, n := range names {
		path += "/branches/" + n
	}
	if setting != "" {
		path += "/settings/" + setting
	}
	c.faults = append(c.faults, schema.Fault{Path: path, Detail: detail})
}

// rootOnlySettings lists the settings that concern the whole cell and are
// allowed only at the root.
var rootOnlySettings = []string{"halls", "lost", "reserve"}

func (c *compiler) compileRoot(b *Branch) {
	decodeIfSet(b.Settings["halls"], &c.compiled.Halls)
	decodeIfSet(b.Settings["reserve"], &c.compiled.Reserve)
	var lost []string
	decodeIfSet(b.Settings["lost"], &lost)
	for _, name := range lost {
		c.compiled.Lost[name] = true
	}
}

// decodeIfSet decodes a value whose type the schema has checked. It leaves out
// unchanged if the value is absent.
func decodeIfSet(raw json.RawMessage, out any) {
	if raw != nil {
		_ = json.Unmarshal(raw, out)
	}
}

func (c *compiler) compileBranch(names []string, b *Branch, inherited map[string]Value, team string) {
	path := strings.Join(names, "/")
	values := make(map[string]Value, len(inherited)+len(b.Settings))
	for name, v := range inherited {
		values[name] = v
	}
	for name, raw := range b.Settings {
		values[name] = Value{Value: raw, From: path}
	}
	c.checkRootOnly(names, b)
	if _, ok := b.Settings["quota"]; ok || len(names) == 1 {
		team = path
		c.compileTeam(path, b, values)
	}
	for name, child := range b.Branches {
		c.compileBranch(append(names[:len(names):len(names)], name), child, values, team)
	}
	if _, ok := values["kind"]; ok && len(b.Branches) == 0 && len(names) > 0 {
		c.compileWorkload(names, values, team)
	}
}

func (c *compiler) checkRootOnly(names []string, b *Branch) {
	if len(names) == 0 {
		return
	}
	for _, name := range rootOnlySettings {
		if _, ok := b.Settings[name]; ok {
			c.addFault(names, name, "is allowed only at the root")
		}
	}
}

func (c *compiler) compileTeam(path string, b *Branch, values map[string]Value) {
	t := Team{Path: path}
	decodeIfSet(values["borrow"].Value, &t.Borrow)
	var q struct {
		CPU          string `json:"cpu"`
		Memory       string `json:"memory"`
		Accelerators int64  `json:"accelerators"`
		Slots        int64  `json:"slots"`
	}
	decodeIfSet(b.Settings["quota"], &q)
	t.Quota = sched.Vec{
		sched.MilliCPU:     parseCPU(q.CPU),
		sched.MemoryMiB:    parseMemory(q.Memory),
		sched.Accelerators: q.Accelerators,
		sched.Slots:        q.Slots,
	}
	c.compiled.Teams[path] = t
}

func (c *compiler) compileWorkload(names []string, values map[string]Value, team string) {
	w := &Workload{Path: strings.Join(names, "/"), Team: team, Values: values}
	var class, cpu, memory string
	var yield []string
	get := func(name string, out any) { decodeIfSet(values[name].Value, out) }
	get("kind", &w.Kind)
	get("class", &class)
	get("cpu", &cpu)
	get("memory", &memory)
	get("repeat", &w.Repeat)
	get("queue", &w.Queue)
	get("rate", &w.Rate)
	get("yield", &yield)
	get("retries", &w.Retries)
	get("cut-off", &w.CutOff)
	get("count", &w.Count)
	get("accelerators", &w.Demand[sched.Accelerators])
	get("connections", &w.Demand[sched.Connections])
	w.Demand[sched.MilliCPU] = parseCPU(cpu)
	w.Demand[sched.MemoryMiB] = parseMemory(memory)
	w.Demand[sched.Slots] = 1
	w.Class, _ = sched.ParseClass(class)
	w.Deadline = parseDuration(values["deadline"].Value)
	w.StartWithin = parseDuration(values["start-within"].Value)
	w.Estimate = parseDuration(values["estimate"].Value)
	w.MoveAfter = parseDuration(values["move-after"].Value)
	w.Keep = parseDuration(values["keep"].Value)
	w.Ladder = parseLadder(yield)
	c.compileWindow(names, w)
	c.checkRequired(names, w)
	c.compiled.Workloads[w.Path] = w
}

func parseLadder(steps []string) sched.PreemptionModes {
	var l sched.PreemptionModes
	for _, s := range steps {
		switch s {
		case "throttle":
			l |= sched.MayThrottle
		case "checkpoint":
			l |= sched.MayCheckpoint
		case "stop":
			l |= sched.MayStop
		}
	}
	return l
}

func (c *compiler) compileWindow(names []string, w *Workload) {
	raw := w.Values["window"].Value
	if raw == nil {
		return
	}
	win, err := parseWindow(raw)
	if err != nil {
		c.addFault(names, "window", err.Error())
		return
	}
	w.Window = win
}

func (c *compiler) checkRequired(names []string, w *Workload) {
	for _, name := range []string{"cpu", "memory"} {
		if _, ok := w.Values[name]; !ok {
			c.addFault(names, "", "a workload needs the setting "+name)
		}
	}
	if _, ok := w.Values["count"]; !ok && w.Kind == Service {
		c.addFault(names, "", "a service needs the setting count")
	}
	if w.Kind == Call && w.Deadline == 0 {
		c.addFault(names, "", "a call needs the setting deadline")
	}
	if w.Kind == Service && w.Repeat == ports.RepeatNever {
		c.addFault(names, "repeat", "a service is always restarted, so never is not allowed")
	}
	if w.Keep < minKeep {
		c.addFault(names, "keep", "must be at least "+minKeep.String())
	}
	if w.CutOff == CutOffMove && w.MoveAfter < minMoveAfter {
		c.addFault(names, "move-after", "must be at least "+minMoveAfter.String())
	}
}

// minMoveAfter is the shortest delay after which an unreachable hall is sure to
// have stopped its tasks.
const minMoveAfter = 10 * time.Second

// minKeep is longer than any delay of a reply of the table: a request key must
// be retained longer than any copy of its request can be in flight.
const minKeep = 10 * time.Second

// checkReferences checks settings that refer to each other.
func (c *compiler) checkReferences() {
	known := make(map[string]bool, len(c.compiled.Halls))
	for _, h := range c.compiled.Halls {
		known[h] = true
	}
	for name := range c.compiled.Lost {
		hall, _, isWorker := strings.Cut(name, "/")
		if len(known) > 0 && !known[hall] {
			what := "hall"
			if isWorker {
				what = "hall of a worker"
			}
			c.addFault(nil, "lost", strconv.Quote(name)+": no such "+what+" in the setting halls")
		}
	}
}

func parseDuration(raw json.RawMessage) time.Duration {
	var s string
	decodeIfSet(raw, &s)
	d, _ := time.ParseDuration(s)
	return d
}

const millicoresPerCPU = 1000

func parseCPU(s string) int64 {
	if m, ok := strings.CutSuffix(s, "m"); ok {
		n, _ := strconv.ParseInt(m, 10, 64)
		return n
	}
	f, _ := strconv.ParseFloat(s, 64)
	return int64(f*millicoresPerCPU + 0.5)
}

const mibPerGiB = 1024

func parseMemory(s string) int64 {
	if g, ok := strings.CutSuffix(s, "GiB"); ok {
		n, _ := strconv.ParseInt(g, 10, 64)
		return n * mibPerGiB
	}
	n, _ := strconv.ParseInt(strings.TrimSuffix(s, "MiB"), 10, 64)
	return n
}

// Lookup returns the workload at path, or an error of kind UnknownWorkload.
func (c *Compiled) Lookup(path string) (*Workload, error) {
	if w := c.Workloads[path]; w != nil {
		return w, nil
	}
	return nil, kind.At(kind.UnknownWorkload, "/workload", strconv.Quote(path))
}
