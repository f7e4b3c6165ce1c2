// SPDX-License-Identifier: Apache-2.0

// Package schema checks JSON documents against an embedded JSON schema and
// reports every fault with its path. The checking itself is done by
// santhosh-tekuri/jsonschema; this package turns its result into a flat list.
package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path points at the fault, such as "/branches/tinting/settings/cpu".
	Path string `json:"path"`
	// Detail says what is wrong.
	Detail string `json:"detail"`
}

// String returns the fault in one line.
func (f Fault) String() string { return f.Path + ": " + f.Detail }

// Join returns the faults in one line.
func Join(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// Schema is a compiled schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles a schema that is part of the program.
func MustCompile(name string, raw []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(err)
	}
	return &Schema{compiled: c.MustCompile(name)}
}

// Check returns every fault of a document, in the order of their paths.
func (s *Schema) Check(raw []byte) []Fault {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return []Fault{{Path: offset(raw, err), Detail: "not valid JSON: " + err.Error()}}
	}
	err = s.compiled.Validate(doc)
	if err == nil {
		return nil
	}
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []Fault{{Path: "/", Detail: err.Error()}}
	}
	faults := leaves(invalid, nil)
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// leaves collects the innermost causes: the outer ones only repeat them.
func leaves(e *jsonschema.ValidationError, out []Fault) []Fault {
	if len(e.Causes) == 0 {
		p := message.NewPrinter(language.English)
		detail := e.ErrorKind.LocalizedString(p)
		return append(out, Fault{Path: "/" + strings.Join(e.InstanceLocation, "/"), Detail: detail})
	}
	for _, c := range e.Causes {
		out = leaves(c, out)
	}
	return out
}

// offset names the line of a syntax error.
func offset(raw []byte, err error) string {
	var syntax *json.SyntaxError
	var probe any
	if e := json.Unmarshal(raw, &probe); e != nil {
		syntax, _ = e.(*json.SyntaxError)
	}
	if syntax == nil {
		return "/"
	}
	line := 1 + bytes.Count(raw[:min(int(syntax.Offset), len(raw))], []byte("\n"))
	return fmt.Sprintf("line %d", line)
}
