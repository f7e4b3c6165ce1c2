// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/hall"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/uid"
	"dewpass.org/job"
	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/tree"
)

const (
	servicesRole  = "services"
	servicesEvery = 2 * time.Second
	// servicesAudit is how often the replicas are counted although the tree
	// has not changed. Their owners keep them running; this only finds those
	// that were ended by hand.
	servicesAudit = time.Minute
	replicaPrefix = "svc-"
	replicaPage   = 500
	serviceShop   = "dewpass"
)

// serve keeps the services at their count until ctx ends. One instance of each
// hall does it for the replicas that fall to its hall.
func (e *Entry) serve(ctx context.Context) {
	t := time.NewTicker(servicesEvery)
	defer t.Stop()
	var counted time.Time
	var version uint64
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := clock.Now()
		c := e.register.Now()
		due := c.Version != version || now.Sub(counted) > servicesAudit
		if !due || !e.ready() || e.keeper.CutOff(now) || !e.leads(servicesRole, now) {
			continue
		}
		if e.countServices(ctx, c) {
			counted, version = now, c.Version
		}
	}
}

// leads reports whether this instance does what one of its hall has to do.
func (e *Entry) leads(role string, now time.Time) bool {
	members := []string{e.settings.Instance}
	for _, p := range e.peers.Live(e.settings.Hall, now) {
		if !p.Leaving {
			members = append(members, p.Instance)
		}
	}
	return hall.Rank(role, members)[0] == e.settings.Instance
}

// leadsOwners is leads among the instances that own racks.
func (e *Entry) leadsOwners(role string, now time.Time) bool {
	if len(e.owner.Owned()) == 0 {
		return false
	}
	members := []string{e.settings.Instance}
	for _, p := range e.peers.Live(e.settings.Hall, now) {
		if !p.Leaving && len(p.Racks) > 0 {
			members = append(members, p.Instance)
		}
	}
	return hall.Rank(role, members)[0] == e.settings.Instance
}

// elsewhere finds a rack for a job that its own has no room for. It is called
// with the owner's lock held, so it works on the summaries that were last sent.
func (e *Entry) elsewhere(demand sched.Vec, not string) (h, rack string, ok bool) {
	return e.front.Elsewhere(e.spread.last(), demand, not)
}

// tell tells a peer of a job that was moved to its rack.
func (e *Entry) tell(row job.Job, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	if err := e.front.Tell(ctx, row, version); err != nil {
		level.Debug(e.kit.Log).Log("msg", "move not told", "job", row.ID, "err", err)
	}
}

// countServices starts the replicas that are missing and ends those that are
// too many.
func (e *Entry) countServices(ctx context.Context, c *tree.Compiled) bool {
	for _, w := range c.Workloads {
		if w.Kind != tree.Service {
			continue
		}
		if err := e.countService(ctx, c, w); err != nil {
			level.Warn(e.kit.Log).Log("msg", "service not counted", "workload", w.Path, "err", err)
			return false
		}
	}
	return true
}

// part returns how many replicas of a service fall to this hall.
func (e *Entry) part(c *tree.Compiled, w *tree.Workload) int {
	for i, h := range c.Halls {
		if h == e.settings.Hall {
			n := len(c.Halls)
			return (w.Count + n - 1 - i) / n
		}
	}
	if len(c.Halls) == 0 {
		return w.Count
	}
	return 0
}

func (e *Entry) countService(ctx context.Context, c *tree.Compiled, w *tree.Workload) error {
	prefix := replicaPrefix + strings.ReplaceAll(w.Path, "/", "-") + "-" + e.settings.Hall + "-"
	live, err := e.replicas(ctx, job.RowKey(prefix))
	if err != nil {
		return err
	}
	want := e.part(c, w)
	for i := len(live); i < want; i++ {
		row := job.Job{
			ID:   fmt.Sprintf("%s%s", prefix, uid.New()),
			Shop: serviceShop, Workload: w.Path, Repeat: ports.RepeatSafe,
			Service: true, Payload: []byte(`{"service":true}`), Submitted: clock.Wall().UTC(),
		}
		if _, err := e.front.Place(ctx, row, w); err != nil {
			return err
		}
	}
	for i := want; i < len(live); i++ {
		if _, err := e.front.Cancel(ctx, live[i].ID); err != nil {
			return err
		}
	}
	return nil
}

// replicas returns the jobs with a prefix that are not over.
func (e *Entry) replicas(ctx context.Context, prefix string) ([]job.Job, error) {
	var live []job.Job
	after := ""
	for {
		rows, err := e.platform.Scan(ctx, prefix, after, replicaPage)
		if err != nil || len(rows) == 0 {
			return live, err
		}
		for _, raw := range rows {
			if row, err := job.Decode(raw.Value); err == nil && !row.State.Over() {
				live = append(live, row)
			}
		}
		after = rows[len(rows)-1].Key
	}
}
