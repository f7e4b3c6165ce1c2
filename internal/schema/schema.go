// SPDX-License-Identifier: Apache-2.0

// Package schema validates JSON documents against an embedded JSON schema and
// reports every fault with its path. Validation is done by
// santhosh-tekuri/jsonschema; this package flattens its result into a list.
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

// Fault is one error in a document.
type Fault struct {
	// Path is the path of the faulty value, such as "/branches/tinting/settings/cpu",
	// or the line of a syntax error.
	Path string `json:"path"`
	// Detail says what is wrong.
	Detail string `json:"detail"`
}

// String returns the path and the detail on one line.
func (f Fault) String() string { return f.Path + ": " + f.Detail }

// Join returns all faults on one line.
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

// MustCompile compiles a schema that is part of the program. It panics if that fails.
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

// Check returns every fault of a document, sorted by path.
func (s *Schema) Check(raw []byte) []Fault {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return []Fault{{Path: syntaxErrorLine(raw, err), Detail: "not valid JSON: " + err.Error()}}
	}
	err = s.compiled.Validate(doc)
	if err == nil {
		return nil
	}
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []Fault{{Path: "/", Detail: err.Error()}}
	}
	faults := appendLeafFaults(invalid, nil)
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// appendLeafFaults appends the innermost causes of e to out. The outer causes only repeat them.
func appendLeafFaults(e *jsonschema.ValidationError, out []Fault) []Fault {
	if len(e.Causes) == 0 {
		p := message.NewPrinter(language.English)
		detail := e.ErrorKind.LocalizedString(p)
		return append(out, Fault{Path: "/" + strings.Join(e.InstanceLocation, "/"), Detail: detail})
	}
	for _, c := range e.Causes {
		out = appendLeafFaults(c, out)
	}
	return out
}

// syntaxErrorLine returns the line of a syntax error, or "/" if the error is of another kind.
func syntaxErrorLine(raw []byte, err error) string {
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
