// SPDX-License-Identifier: Apache-2.0

package bed

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"dewpass.org/front"
	"dewpass.org/internal/client"
	"dewpass.org/internal/standin"
	"dewpass.org/ports"
)

// Owners returns the owner of each rack as seen by the first running entry that
// responds.
func (b *Bed) Owners(ctx context.Context) (map[string]string, error) {
	for _, p := range b.Entries {
		if !p.Running() {
			continue
		}
		var s front.Status
		if err := p.Client().Do(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
			continue
		}
		out := make(map[string]string)
		for _, r := range s.Racks {
			out[r.Rack] = r.Owner
		}
		return out, nil
	}
	return nil, errors.New("no running entry responds")
}

// AwaitTree waits until a version of the tree, or a later one, is in force at every
// running entry.
func (b *Bed) AwaitTree(ctx context.Context, version uint64) error {
	return b.await(ctx, func(ctx context.Context) error {
		for _, p := range b.Entries {
			if !p.Running() {
				continue
			}
			var view front.TreeView
			if err := p.Client().Do(ctx, http.MethodGet, "/v1/tree?in-force=1", nil, &view); err != nil {
				return err
			}
			if view.Version < version {
				return errors.Errorf("%s is at version %d", p.Addr.ID, view.Version)
			}
		}
		return nil
	})
}

// Record returns the summary of the workers' record.
func (b *Bed) Record(ctx context.Context) (standin.Summary, error) {
	var s standin.Summary
	err := b.Admin.Do(ctx, http.MethodGet, "/record", nil, &s)
	return s, err
}

// Starts returns how often each request was started, by the callers' own tags.
func (b *Bed) Starts(ctx context.Context) (map[string]int, error) {
	var tags map[string]int
	err := b.Admin.Do(ctx, http.MethodGet, "/record/tags", nil, &tags)
	return tags, err
}

// Commits returns the number of transactions of the platform's table so far.
func (b *Bed) Commits(ctx context.Context) (uint64, error) {
	var n uint64
	err := b.Admin.Do(ctx, http.MethodGet, "/record/commits", nil, &n)
	return n, err
}

// Clients returns a client for each entry.
func (b *Bed) Clients() []*client.Client {
	var out []*client.Client
	for _, p := range b.Entries {
		out = append(out, p.Client())
	}
	return out
}

// SetFaults replaces the faults injected into a part of the platform: "table",
// "objects", "instances" or, for a worker, "worker/ID".
func (b *Bed) SetFaults(ctx context.Context, what string, f standin.Faults) error {
	return b.Admin.Do(ctx, http.MethodPost, "/faults/"+what, f, nil)
}

// WorkerEvent triggers an event at a worker: crash, restart, leave or return.
func (b *Bed) WorkerEvent(ctx context.Context, id, what string) error {
	return b.Admin.Do(ctx, http.MethodPost, "/worker/"+id+"/"+what, nil, nil)
}

// ListInstance adds an instance to the platform's list, whether or not it exists.
func (b *Bed) ListInstance(ctx context.Context, in ports.Instance) error {
	return b.Admin.Do(ctx, http.MethodPut, "/instances", in, nil)
}

// UnlistInstance removes an instance from the platform's list, whether or not it runs.
func (b *Bed) UnlistInstance(ctx context.Context, id string) error {
	return b.Admin.Do(ctx, http.MethodDelete, "/instances/"+id, nil, nil)
}
