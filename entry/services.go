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
	servicesRole     = "services"
	servicesInterval = 2 * time.Second
	// servicesAuditInterval is how often replicas are counted when the tree has
	// not changed. Owners keep replicas running; this only finds those that were
	// cancelled by hand.
	servicesAuditInterval = time.Minute
	replicaPrefix         = "svc-"
	replicaPageSize       = 500
	serviceAccount        = "dewpass"
)

// runServices keeps services at their replica counts until ctx ends. One instance
// of each hall does it for the replicas of that hall.
func (e *Entry) runServices(ctx context.Context) {
	t := time.NewTicker(servicesInterval)
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
		c := e.register.Current()
		due := c.Version != version || now.Sub(counted) > servicesAuditInterval
		if !due || !e.ready() || e.coordinator.CutOff(now) || !e.isLeader(servicesRole, now) {
			continue
		}
		if e.reconcileServices(ctx, c) {
			counted, version = now, c.Version
		}
	}
}

// isLeader reports whether this instance performs a task that one instance of its
// hall has to perform.
func (e *Entry) isLeader(role string, now time.Time) bool {
	members := []string{e.settings.Instance}
	for _, p := range e.peers.Live(e.settings.Hall, now) {
		if !p.Leaving {
			members = append(members, p.Instance)
		}
	}
	return hall.Rank(role, members)[0] == e.settings.Instance
}

// isLeaderOfOwners is isLeader restricted to the instances that own racks.
func (e *Entry) isLeaderOfOwners(role string, now time.Time) bool {
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

// findRackElsewhere returns a rack for a job that does not fit on its own rack. The
// owner calls it with its lock held, so it must not call the owner and uses the
// summaries that were last sent to peers.
func (e *Entry) findRackElsewhere(demand sched.Vec, exclude string) (h, rack string, ok bool) {
	return e.front.FindRackElsewhere(e.summaries.current(), demand, exclude)
}

// notifyMoved tells the owner of a rack that a job was moved to it.
func (e *Entry) notifyMoved(row job.Job, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := e.front.NotifyMoved(ctx, row, version); err != nil {
		level.Debug(e.kit.Log).Log("msg", "notification of moved job not delivered", "job", row.ID, "err", err)
	}
}

// reconcileServices starts missing replicas and cancels surplus ones. It returns
// false if a service could not be reconciled.
func (e *Entry) reconcileServices(ctx context.Context, c *tree.Compiled) bool {
	for _, w := range c.Workloads {
		if w.Kind != tree.Service {
			continue
		}
		if err := e.reconcileService(ctx, c, w); err != nil {
			level.Warn(e.kit.Log).Log("msg", "replicas of service not reconciled", "workload", w.Path, "err", err)
			return false
		}
	}
	return true
}

// localReplicas returns how many replicas of a service run in this hall.
func (e *Entry) localReplicas(c *tree.Compiled, w *tree.Workload) int {
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

func (e *Entry) reconcileService(ctx context.Context, c *tree.Compiled, w *tree.Workload) error {
	prefix := replicaPrefix + strings.ReplaceAll(w.Path, "/", "-") + "-" + e.settings.Hall + "-"
	live, err := e.replicas(ctx, job.RowKey(prefix))
	if err != nil {
		return err
	}
	want := e.localReplicas(c, w)
	for i := len(live); i < want; i++ {
		row := job.Job{
			ID:      fmt.Sprintf("%s%s", prefix, uid.New()),
			Account: serviceAccount, Workload: w.Path, Repeat: ports.RepeatSafe,
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

// replicas returns the unfinished jobs whose row keys have a prefix.
func (e *Entry) replicas(ctx context.Context, prefix string) ([]job.Job, error) {
	var live []job.Job
	after := ""
	for {
		rows, err := e.platform.Scan(ctx, prefix, after, replicaPageSize)
		if err != nil || len(rows) == 0 {
			return live, err
		}
		for _, raw := range rows {
			if row, err := job.Decode(raw.Value); err == nil && !row.State.Final() {
				live = append(live, row)
			}
		}
		after = rows[len(rows)-1].Key
	}
}
