// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/claim"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
)

// Each instance writes itself into the store's list of instances. Only owners read the whole list,
// since they greet everybody. Other instances read a part that does not grow with the list: the
// strongest instances, which are those that own cells, and the next few after themselves, with whom
// they exchange greetings. What all instances read together then grows with their number, not with
// its square.
const (
	// membersTable is the list of instances by name, and rankedTable the same by processor
	// share, the strongest first.
	membersTable        = "members"
	rankedTable         = "ranked"
	membersReadInterval = 5 * time.Second
	// Lists of up to smallFleet instances are read every membersReadInterval, longer ones
	// accordingly less often. An instance that starts writes itself into the list, reads it and
	// greets, so that the others need the list only if they heard no greeting.
	smallFleet             = 30
	maxMembersReadInterval = 30 * time.Second
	membersRetryPause      = 300 * time.Millisecond
	// maxMembersWritePause limits the mean pause between attempts to write the own entry.
	maxMembersWritePause = 2400 * time.Millisecond
	// manyMembers is the length from which a list is read every maxMembersReadInterval.
	manyMembers = smallFleet * int(maxMembersReadInterval/membersReadInterval)
	// goneAfter is how long an instance must not have been heard before its entry is removed. One
	// that lives after all writes it again.
	goneAfter = claim.PeerRetention
	// maxStrongest is how many of the strongest instances are read: more than there are cells.
	maxStrongest = 64
	// maxNeighbors is how many instances are read that follow by name: those that are greeted,
	// and some more in case they are gone.
	maxNeighbors = 16
)

// memberRow is the stored form of an entry of the list of instances.
type memberRow struct {
	Addr string `json:"addr"`
	Hall string `json:"hall"`
	// Processor is the share of a processor, in thousandths.
	Processor uint32 `json:"processor,omitempty"`
	// Ranked says that the instance is also in the ranked table. Earlier builds wrote only
	// the list by name.
	Ranked bool `json:"ranked,omitempty"`
	// name is the name of the instance, which is part of the row's key.
	name string
}

func decodeMember(raw []byte) (memberRow, error) {
	var m memberRow
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, err
	}
	_, err := netip.ParseAddrPort(m.Addr)
	return m, err
}

// memberRow returns the entry of this instance.
func (n *Instance) memberRow() memberRow {
	return memberRow{Addr: n.settings.Listen.Peer, Hall: n.settings.Hall, Processor: n.processor(), Ranked: true}
}

// rankedName returns the name of an instance's row in the ranked table: stronger instances
// come first.
func rankedName(processor uint32, instance string) string {
	return fmt.Sprintf("%010d %s", math.MaxUint32-processor, instance)
}

// instanceOf returns the instance of a row of either table. Names of instances have no spaces.
func instanceOf(rowName string) string {
	return rowName[strings.LastIndexByte(rowName, ' ')+1:]
}

// register reads the store's list of instances periodically, and writes this instance's entry if it
// is missing or differs, until ctx ends.
func (n *Instance) register(ctx context.Context) {
	name, own := n.settings.Instance, n.memberRow()
	value, err := json.Marshal(own)
	if err != nil {
		return
	}
	put := rows.Tx{Put: []rows.Row{
		{Key: rows.Key{Table: membersTable, Name: name}, Value: value},
		{Key: rows.Key{Table: rankedTable, Name: rankedName(own.Processor, name)}, Value: value},
	}}
	written := time.Time{}
	for ctx.Err() == nil {
		pause := membersRetryPause
		if listed, fleet, ok := n.readMembers(ctx); ok {
			at := slices.IndexFunc(listed, func(r rows.Row) bool { return r.Name == name })
			if at < 0 {
				// Owners may have forgotten it meanwhile.
				n.listed.Store(false)
			}
			if at >= 0 && clock.Since(written) > membersReadInterval {
				n.listed.Store(true)
			}
			if at >= 0 && bytes.Equal(listed[at].Value, value) {
				pause = membersReadPause(fleet)
			} else if n.writeMember(ctx, put) {
				written = clock.Now()
			}
		}
		sleep(ctx, pause)
	}
}

// writeMember writes this instance's entry, and reports whether it did before ctx ended. All instances
// of a fleet that starts write to the same part of the store, which takes some hundred writes a second:
// attempts are spread in time, the more the longer it takes, and nothing is read in between.
func (n *Instance) writeMember(ctx context.Context, put rows.Tx) bool {
	for pause := membersRetryPause; ctx.Err() == nil; pause = min(2*pause, maxMembersWritePause) {
		if _, err := n.storeClient.Tx(ctx, put); err == nil {
			return true
		}
		sleep(ctx, pause/2+rand.N(pause))
	}
	return false
}

// membersReadPause returns when a list of so many instances is read again: soon while the others
// may still be starting, and less often the more there are, as all of them read it.
func membersReadPause(listed int) time.Duration {
	if listed <= 1 {
		return membersRetryPause
	}
	return min(max(membersReadInterval*time.Duration(listed)/smallFleet, membersReadInterval), maxMembersReadInterval)
}

// readMembers reads the part of the list of instances that this instance needs, with its own row if
// that exists. fleet is the number of instances as far as it is known, or manyMembers.
func (n *Instance) readMembers(ctx context.Context) (listed []rows.Row, fleet int, ok bool) {
	strongest, err := n.storeClient.Get(ctx, rows.Range{Table: rankedTable, Limit: maxStrongest})
	if err != nil {
		return nil, 0, false
	}
	n.addMembers(strongest.Rows)
	if len(n.ownCells()) > 0 {
		listed, ok = n.readAllMembers(ctx)
		n.removeGone(ctx, listed, clock.Now())
		return listed, len(listed), ok
	}
	// The range begins with the own row. At the end of the list it continues at the beginning.
	next, err := n.storeClient.Get(ctx, rows.Range{Table: membersTable, From: n.settings.Instance, Limit: maxNeighbors})
	if err != nil {
		return nil, 0, false
	}
	if !next.More && len(next.Rows) < maxNeighbors {
		first, err := n.storeClient.Get(ctx, rows.Range{Table: membersTable, Limit: maxNeighbors})
		if err != nil {
			return nil, 0, false
		}
		next.Rows = append(next.Rows, first.Rows...)
	}
	n.addMembers(next.Rows)
	if strongest.More {
		return next.Rows, manyMembers, true
	}
	return next.Rows, max(len(strongest.Rows), len(next.Rows)), true
}

// readAllMembers reads the whole list of instances, and reports whether that succeeded.
func (n *Instance) readAllMembers(ctx context.Context) ([]rows.Row, bool) {
	all, _, err := rows.ReadAll(ctx, n.storeClient, rows.Range{Table: membersTable})
	if err != nil {
		return nil, false
	}
	n.addMembers(all)
	return all, true
}

// removeGone removes the entries of instances that were not heard for goneAfter. Otherwise those that
// are replaced would, over time, fill the part of the list that the others read. The owner of the first
// cell does that, as it greets everybody.
func (n *Instance) removeGone(ctx context.Context, listed []rows.Row, now time.Time) {
	cells := n.division.cells()
	if len(cells) == 0 || n.ownDriver(cells[0]) == nil {
		return
	}
	for _, r := range listed {
		m, err := decodeMember(r.Value)
		if err != nil || r.Name == n.settings.Instance || n.members.silence(r.Name, now) < goneAfter {
			continue
		}
		_, err = n.storeClient.Tx(ctx, rows.Tx{
			// An instance that has written its entry again meanwhile keeps it.
			Expect: []rows.Check{{Key: r.Key, Ver: r.Ver}},
			Remove: []rows.Key{r.Key, {Table: rankedTable, Name: rankedName(m.Processor, r.Name)}},
		})
		level.Info(n.kit.Log).Log("event", "instance_removed", "peer", r.Name, "err", err)
	}
}

// addMembers records instances that the store lists.
func (n *Instance) addMembers(listed []rows.Row) {
	var valid []memberRow
	for _, r := range listed {
		m, err := decodeMember(r.Value)
		if err != nil {
			n.badRows.note([]rows.BadRow{{Key: r.Key, Ver: r.Ver, Reason: err.Error()}})
			continue
		}
		m.name = instanceOf(r.Name)
		valid = append(valid, m)
	}
	n.members.addListed(valid, clock.Now())
}
