// SPDX-License-Identifier: Apache-2.0

package tree

import (
	_ "embed"
	"encoding/json"
	"sort"
	"strings"

	"dewpass.org/internal/schema"
	"dewpass.org/kind"
)

//go:embed schema.json
var schemaJSON []byte

var docSchema = schema.MustCompile("tree.json", schemaJSON)

// Branch is one branch of the tree.
type Branch struct {
	Settings map[string]json.RawMessage `json:"settings,omitempty"`
	Branches map[string]*Branch         `json:"branches,omitempty"`
}

// Doc is a whole tree: its root branch.
type Doc struct {
	Branch
}

// Parse validates a document and returns it. The error, of kind BadTree, lists
// every fault that was found.
func Parse(raw []byte) (*Doc, error) {
	if faults := docSchema.Check(raw); len(faults) > 0 {
		return nil, badTreeError(faults)
	}
	var d Doc
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, kind.Wrap(kind.BadTree, err, "decode")
	}
	if _, faults := compileDoc(&d, 0); len(faults) > 0 {
		return nil, badTreeError(faults)
	}
	return &d, nil
}

func badTreeError(faults []schema.Fault) error {
	return kind.At(kind.BadTree, faults[0].Path, schema.Join(faults))
}

// Clone returns a deep copy of d.
func (d *Doc) Clone() *Doc {
	return &Doc{Branch: *d.Branch.clone()}
}

func (b *Branch) clone() *Branch {
	out := &Branch{}
	for k, v := range b.Settings {
		out.set(k, v)
	}
	for k, v := range b.Branches {
		out.setChild(k, v.clone())
	}
	return out
}

func (b *Branch) set(name string, v json.RawMessage) {
	if b.Settings == nil {
		b.Settings = make(map[string]json.RawMessage)
	}
	b.Settings[name] = v
}

func (b *Branch) setChild(name string, c *Branch) {
	if b.Branches == nil {
		b.Branches = make(map[string]*Branch)
	}
	b.Branches[name] = c
}

// Path names a branch, or one of its settings.
type Path struct {
	// Branch lists the branch names from the root down.
	Branch []string
	// Setting is "" if the path names the whole branch.
	Setting string
}

// ParsePath parses a path such as "tinting/shade-lookup.deadline".
func ParsePath(s string) (Path, error) {
	branch, setting, dotted := strings.Cut(s, ".")
	if dotted && setting == "" {
		return Path{}, kind.At(kind.BadRequest, s, "missing setting name after the dot")
	}
	p := Path{Setting: setting}
	if branch == "" {
		return p, nil
	}
	for _, name := range strings.Split(branch, "/") {
		if name == "" {
			return Path{}, kind.At(kind.BadRequest, s, "empty branch name")
		}
		p.Branch = append(p.Branch, name)
	}
	return p, nil
}

// String returns p in the form that ParsePath accepts.
func (p Path) String() string {
	s := strings.Join(p.Branch, "/")
	if p.Setting != "" {
		s += "." + p.Setting
	}
	return s
}

// Overlaps reports whether edits at p and at o could change the same value.
func (p Path) Overlaps(o Path) bool {
	n := min(len(p.Branch), len(o.Branch))
	for i := range n {
		if p.Branch[i] != o.Branch[i] {
			return false
		}
	}
	switch {
	case len(p.Branch) < len(o.Branch):
		return p.Setting == ""
	case len(p.Branch) > len(o.Branch):
		return o.Setting == ""
	default:
		return p.Setting == "" || o.Setting == "" || p.Setting == o.Setting
	}
}

// findBranch returns the branch with the given names from the root, or nil. If
// create is true, missing branches are added.
func (d *Doc) findBranch(names []string, create bool) *Branch {
	b := &d.Branch
	for _, name := range names {
		next := b.Branches[name]
		if next == nil && !create {
			return nil
		}
		if next == nil {
			next = &Branch{}
			b.setChild(name, next)
		}
		b = next
	}
	return b
}

// Get returns the JSON of the setting or branch at p, nil if it is not set.
// Inherited settings are not included.
func (d *Doc) Get(p Path) json.RawMessage {
	b := d.findBranch(p.Branch, false)
	if b == nil {
		return nil
	}
	if p.Setting != "" {
		return b.Settings[p.Setting]
	}
	raw, err := json.Marshal(b)
	if err != nil {
		return nil
	}
	return raw
}

// Op is one operation of an edit: it sets the value at Path, or removes it if
// Value is nil.
type Op struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Apply performs ops on a copy of d, and validates and returns the copy.
func (d *Doc) Apply(ops []Op) (*Doc, error) {
	out := d.Clone()
	for _, op := range ops {
		if err := out.applyOp(op); err != nil {
			return nil, err
		}
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, kind.Wrap(kind.BadTree, err, "encode")
	}
	return Parse(raw)
}

func (d *Doc) applyOp(op Op) error {
	p, err := ParsePath(op.Path)
	if err != nil {
		return err
	}
	if len(op.Value) == 0 {
		return d.unset(p)
	}
	if p.Setting != "" {
		d.findBranch(p.Branch, true).set(p.Setting, op.Value)
		return nil
	}
	return d.setBranch(p, op.Value)
}

func (d *Doc) unset(p Path) error {
	b := d.findBranch(p.Branch, false)
	if b == nil {
		return kind.At(kind.NotFound, p.String(), "no such branch")
	}
	if p.Setting != "" {
		if b.Settings[p.Setting] == nil {
			return kind.At(kind.NotFound, p.String(), "the branch does not set this setting")
		}
		delete(b.Settings, p.Setting)
		return nil
	}
	if len(p.Branch) == 0 {
		return kind.At(kind.BadRequest, "", "the root cannot be unset")
	}
	last := len(p.Branch) - 1
	delete(d.findBranch(p.Branch[:last], false).Branches, p.Branch[last])
	return nil
}

func (d *Doc) setBranch(p Path, value json.RawMessage) error {
	if faults := docSchema.Check(value); len(faults) > 0 {
		return badTreeError(faults)
	}
	var b Branch
	if err := json.Unmarshal(value, &b); err != nil {
		return kind.Wrap(kind.BadTree, err, p.String())
	}
	if len(p.Branch) == 0 {
		d.Branch = b
		return nil
	}
	last := len(p.Branch) - 1
	d.findBranch(p.Branch[:last], true).setChild(p.Branch[last], &b)
	return nil
}

// Change is one difference between two trees.
type Change struct {
	Path string          `json:"path"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// Diff returns the changes that turn a into b, sorted by path.
func Diff(a, b *Doc) []Change {
	out := diffBranch(Path{}, &a.Branch, &b.Branch, nil)
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

func diffBranch(path Path, a, b *Branch, out []Change) []Change {
	for name := range unionOfKeys(a.Settings, b.Settings) {
		from, to := a.Settings[name], b.Settings[name]
		if string(from) == string(to) {
			continue
		}
		p := Path{Branch: path.Branch, Setting: name}
		out = append(out, Change{Path: p.String(), From: from, To: to})
	}
	for name := range unionOfKeys(a.Branches, b.Branches) {
		from, to := orEmpty(a.Branches[name]), orEmpty(b.Branches[name])
		names := append(path.Branch[:len(path.Branch):len(path.Branch)], name)
		out = diffBranch(Path{Branch: names}, from, to, out)
	}
	return out
}

func orEmpty(b *Branch) *Branch {
	if b == nil {
		return &Branch{}
	}
	return b
}

func unionOfKeys[V any](a, b map[string]V) map[string]bool {
	out := make(map[string]bool, len(a)+len(b))
	for k := range a {
		out[k] = true
	}
	for k := range b {
		out[k] = true
	}
	return out
}
