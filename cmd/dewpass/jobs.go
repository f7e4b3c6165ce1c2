// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"dewpass.org/front"
	"dewpass.org/job"
)

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:        "jobs",
		Usage:       "list, show and cancel jobs",
		Description: "Example: dewpass jobs list --state queued",
		Commands:    []*cli.Command{jobsList(), jobsGet(), jobsCancel()},
	}
}

func jobsList() *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "list jobs",
		Description: "Example: dewpass jobs list --workload sorting/trace --state running",
		Flags: serverFlags(
			&cli.StringFlag{Name: "state", Usage: "only jobs in `STATE`: queued, running, done, failed, cancelled, unknown, refused"},
			&cli.StringFlag{Name: "workload", Usage: "only jobs of the workload at `PATH`"},
			&cli.StringFlag{Name: "after", Usage: "only jobs after `ID`"},
			&cli.IntFlag{Name: "limit", Value: 100, Usage: "at most `N` jobs"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			q := url.Values{
				"state": {c.String("state")}, "workload": {c.String("workload")},
				"after": {c.String("after")}, "limit": {strconv.Itoa(c.Int("limit"))},
			}
			var list front.JobList
			if err := newClient(c).Do(ctx, http.MethodGet, "/v1/jobs?"+q.Encode(), nil, &list); err != nil {
				return err
			}
			return printResult(c, list, func() *table { return jobTable(list.Jobs...) })
		},
	}
}

func jobTable(jobs ...job.Job) *table {
	t := &table{header: []string{"ID", "WORKLOAD", "SHOP", "STATE", "ATTEMPT", "RACK", "WORKER", "SUBMITTED", "WHY"}}
	for _, j := range jobs {
		t.add(j.ID, j.Workload, j.Account, j.State, j.Attempt, j.Rack, orDash(j.Worker),
			j.Submitted.Format(time.RFC3339), orDash(j.Why))
	}
	return t
}

func jobsGet() *cli.Command {
	return jobCommand("get", "print a job", http.MethodGet)
}

func jobsCancel() *cli.Command {
	return jobCommand("cancel", "request the cancellation of a job", http.MethodDelete)
}

func jobCommand(name, usage, method string) *cli.Command {
	return &cli.Command{
		Name: name, ArgsUsage: "ID",
		Usage:       usage,
		Description: "Example: dewpass jobs " + name + " 01JE2Y4Q4V5X6Z7A8B9C0D1E2F",
		Flags:       serverFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := argument(c, 0, "ID")
			if err != nil {
				return err
			}
			var j job.Job
			if err := newClient(c).Do(ctx, method, "/v1/jobs/"+url.PathEscape(id), nil, &j); err != nil {
				return err
			}
			return printResult(c, j, func() *table { return jobTable(j) })
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print the halls, racks, owners and versions in force",
		Description: "Example: dewpass status --output json",
		Flags:       serverFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := getStatus(ctx, c)
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return printResult(c, s, nil)
			}
			if err := instanceTable(s).write(c.Root().Writer); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer)
			return rackTable(s).write(c.Root().Writer)
		},
	}
}

func getStatus(ctx context.Context, c *cli.Command) (front.Status, error) {
	var s front.Status
	err := newClient(c).Do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

func instanceTable(s front.Status) *table {
	t := &table{header: []string{"INSTANCE", "HALL", "TREE", "RACKS", "LEAVING", "CUT OFF"}}
	for _, in := range s.Instances {
		t.add(in.Instance, in.Hall, in.TreeVersion, in.Racks, in.Leaving, in.CutOff)
	}
	return t
}

func rackTable(s front.Status) *table {
	t := &table{header: []string{"RACK", "HALL", "OWNER", "EPOCH", "WORKERS", "RUNNING", "QUEUED", "WAIT", "USED"}}
	for _, r := range s.Racks {
		t.add(r.Rack, r.Hall, r.Owner, r.Epoch, fmt.Sprintf("%d/%d", r.Attached, r.Workers),
			r.Running, r.Queued, time.Duration(r.WaitMS)*time.Millisecond, fmt.Sprintf("%.0f%%", r.Used*100))
	}
	return t
}
