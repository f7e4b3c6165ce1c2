// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"dewpass.org/front"
	"dewpass.org/internal/uid"
	"dewpass.org/kind"
	"dewpass.org/tree"
)

func treeCommand() *cli.Command {
	return &cli.Command{
		Name:  "tree",
		Usage: "read and edit the tree of settings",
		Description: "A path names a branch (tinting/shade-lookup), one of its settings\n" +
			"(tinting/shade-lookup.deadline) or a setting of the root (.class).\n\nExample: dewpass tree get tinting/shade-lookup.deadline",
		Commands: []*cli.Command{
			treeGet(), treeSet(), treeUnset(), treeDiff(), treeLog(), treeCheck(), treeWait(),
		},
	}
}

func treeGet() *cli.Command {
	return &cli.Command{
		Name: "get", ArgsUsage: "[PATH]",
		Usage:       "print what is set at a path",
		Description: "Example: dewpass tree get tinting",
		Flags:       serverFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			view, err := getTree(ctx, c, c.Args().First())
			if err != nil {
				return err
			}
			return printResult(c, view.Value, nil)
		},
	}
}

func getTree(ctx context.Context, c *cli.Command, path string) (front.TreeView, error) {
	var view front.TreeView
	err := newClient(c).Do(ctx, http.MethodGet, "/v1/tree?path="+url.QueryEscape(path), nil, &view)
	return view, err
}

// editFlags returns the flags of the commands that edit the tree.
func editFlags() []cli.Flag {
	return serverFlags(
		&cli.Uint64Flag{Name: "base", Usage: "`VERSION` on which the edit is based; 0 is the newest"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the edit; an edit sent again with the same ID is applied once"},
	)
}

func treeSet() *cli.Command {
	return &cli.Command{
		Name: "set", ArgsUsage: "PATH VALUE [PATH VALUE ...]",
		Usage:       "set one or more values atomically",
		Description: "A VALUE is JSON; anything else is taken as a string.\nAn empty PATH with @FILE as its VALUE replaces the whole tree.\n\nExample: dewpass tree set tinting/shade-lookup.deadline 800ms",
		Flags:       editFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 || c.Args().Len()%2 != 0 {
				return kind.At(kind.BadRequest, "VALUE", "is missing; see --help")
			}
			var ops []tree.Op
			for i := 0; i < c.Args().Len(); i += 2 {
				v, err := parseValue(c.Args().Get(i + 1))
				if err != nil {
					return err
				}
				ops = append(ops, tree.Op{Path: c.Args().Get(i), Value: v})
			}
			return sendEdit(ctx, c, ops)
		},
	}
}

// parseValue returns the JSON of a value argument: the contents of FILE for @FILE,
// the argument itself if it is JSON, else the argument as a JSON string.
func parseValue(s string) (json.RawMessage, error) {
	if len(s) > 1 && s[0] == '@' {
		raw, err := os.ReadFile(s[1:])
		if err != nil {
			return nil, kind.Wrap(kind.BadRequest, err, "value")
		}
		return raw, nil
	}
	if json.Valid([]byte(s)) {
		return json.RawMessage(s), nil
	}
	return json.Marshal(s)
}

func treeUnset() *cli.Command {
	return &cli.Command{
		Name: "unset", ArgsUsage: "PATH [PATH ...]",
		Usage:       "remove settings or branches; removed settings are inherited again",
		Description: "Example: dewpass tree unset tinting/shade-lookup.deadline",
		Flags:       editFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := argument(c, 0, "PATH"); err != nil {
				return err
			}
			var ops []tree.Op
			for _, p := range c.Args().Slice() {
				ops = append(ops, tree.Op{Path: p})
			}
			return sendEdit(ctx, c, ops)
		},
	}
}

func sendEdit(ctx context.Context, c *cli.Command, ops []tree.Op) error {
	e := tree.Edit{ID: c.String("id"), Base: c.Uint64("base"), Ops: ops, Who: os.Getenv("USER")}
	if e.ID == "" {
		e.ID = uid.New()
	}
	if e.Base == 0 {
		view, err := getTree(ctx, c, "")
		if err != nil {
			return err
		}
		e.Base = view.Version
	}
	var entry tree.Entry
	if err := newClient(c).Do(ctx, http.MethodPost, "/v1/tree/edits", e, &entry); err != nil {
		return err
	}
	return printResult(c, entry, func() *table { return changeTable(entry.Version, entry.Changes) })
}

func changeTable(version uint64, changes []tree.Change) *table {
	t := &table{header: []string{"VERSION", "PATH", "FROM", "TO"}}
	for _, ch := range changes {
		t.add(version, ch.Path, orDash(string(ch.From)), orDash(string(ch.To)))
	}
	return t
}

func treeDiff() *cli.Command {
	return &cli.Command{
		Name: "diff", ArgsUsage: "FILE",
		Usage:       "print what would change if a file became the tree",
		Description: "Example: dewpass tree diff comhar-dathanna.json",
		Flags:       serverFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := argument(c, 0, "FILE")
			if err != nil {
				return err
			}
			next, err := readDoc(name)
			if err != nil {
				return err
			}
			view, err := getTree(ctx, c, "")
			if err != nil {
				return err
			}
			var now tree.Doc
			if err := json.Unmarshal(view.Value, &now); err != nil {
				return kind.Wrap(kind.Damaged, err, "tree")
			}
			changes := tree.Diff(&now, next)
			return printResult(c, changes, func() *table { return changeTable(view.Version, changes) })
		},
	}
}

func readDoc(name string) (*tree.Doc, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, kind.Wrap(kind.BadRequest, err, "tree")
	}
	return tree.Parse(raw)
}

func treeLog() *cli.Command {
	return &cli.Command{
		Name:        "log",
		Usage:       "print the accepted edits",
		Description: "Example: dewpass tree log --after 41",
		Flags:       serverFlags(&cli.Uint64Flag{Name: "after", Usage: "only edits after `VERSION`"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			var entries []tree.Entry
			path := "/v1/tree/log?after=" + strconv.FormatUint(c.Uint64("after"), 10)
			if err := newClient(c).Do(ctx, http.MethodGet, path, nil, &entries); err != nil {
				return err
			}
			return printResult(c, entries, func() *table {
				t := &table{header: []string{"VERSION", "AT", "WHO", "PATH", "FROM", "TO"}}
				for _, e := range entries {
					for _, ch := range e.Changes {
						t.add(e.Version, e.At.Format(time.RFC3339), orDash(e.Edit.Who), ch.Path,
							orDash(string(ch.From)), orDash(string(ch.To)))
					}
				}
				return t
			})
		},
	}
}

func treeCheck() *cli.Command {
	return &cli.Command{
		Name: "check", ArgsUsage: "FILE",
		Usage:       "check a file without an instance and name every fault with its path",
		Description: "Example: dewpass tree check comhar-dathanna.json",
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := argument(c, 0, "FILE")
			if err != nil {
				return err
			}
			doc, err := readDoc(name)
			if err != nil {
				return err
			}
			compiled, err := tree.Compile(doc, 0)
			if err != nil {
				return err
			}
			for _, w := range compiled.WorkloadPaths() {
				fmt.Fprintln(c.Root().Writer, w)
			}
			return nil
		},
	}
}

const waitPollInterval = 200 * time.Millisecond

func treeWait() *cli.Command {
	return &cli.Command{
		Name: "wait", ArgsUsage: "VERSION",
		Usage:       "wait until a version is in force at every reachable instance",
		Description: "Example: dewpass tree wait 42 --timeout 5s",
		Flags:       serverFlags(&cli.DurationFlag{Name: "timeout", Value: clientTimeout, Usage: "maximum `DURATION` to wait"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			arg, err := argument(c, 0, "VERSION")
			if err != nil {
				return err
			}
			version, err := strconv.ParseUint(arg, 10, 64)
			if err != nil {
				return kind.At(kind.BadRequest, "VERSION", arg+" is not a number")
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			return awaitVersion(ctx, c, version)
		},
	}
}

func awaitVersion(ctx context.Context, c *cli.Command, version uint64) error {
	for {
		s, err := getStatus(ctx, c)
		if err == nil && inForceEverywhere(s, version) {
			_, err = fmt.Fprintf(c.Root().Writer, "version %d is in force at %d instances\n", version, len(s.Instances))
			return err
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return kind.New(kind.Deadline, fmt.Sprintf("version %d is not in force everywhere yet", version))
		}
	}
}

func inForceEverywhere(s front.Status, version uint64) bool {
	for _, in := range s.Instances {
		if in.TreeVersion < version {
			return false
		}
	}
	return true
}

func workloadCommand() *cli.Command {
	return &cli.Command{
		Name: "workload", ArgsUsage: "[PATH]",
		Usage:       "list the workloads, or print one with the branch that sets each value",
		Description: "Example: dewpass workload tinting/shade-lookup",
		Flags:       serverFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return listWorkloads(ctx, c)
			}
			var w struct {
				Path   string                `json:"path"`
				Team   string                `json:"team"`
				Values map[string]tree.Value `json:"values"`
			}
			if err := newClient(c).Do(ctx, http.MethodGet, "/v1/workloads/"+c.Args().First(), nil, &w); err != nil {
				return err
			}
			return printResult(c, w, func() *table { return valueTable(w.Values) })
		},
	}
}

func listWorkloads(ctx context.Context, c *cli.Command) error {
	var names []string
	if err := newClient(c).Do(ctx, http.MethodGet, "/v1/workloads", nil, &names); err != nil {
		return err
	}
	return printResult(c, names, func() *table {
		t := &table{header: []string{"WORKLOAD"}}
		for _, n := range names {
			t.add(n)
		}
		return t
	})
}

func valueTable(values map[string]tree.Value) *table {
	names := make([]string, 0, len(values))
	for n := range values {
		names = append(names, n)
	}
	sort.Strings(names)
	t := &table{header: []string{"SETTING", "VALUE", "FROM"}}
	for _, n := range names {
		from := values[n].From
		if from == "" {
			from = "(root)"
		}
		t.add(n, string(values[n].Value), from)
	}
	return t
}
