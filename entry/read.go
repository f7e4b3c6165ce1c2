// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/hall"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/lease"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

const (
	readInterval = time.Second
	// staleAfter is the age of the last confirmation of the tree's version at which
	// an instance that is not the reader of its hall asks the table itself.
	staleAfter     = 2 * time.Second
	readTimeout    = 2 * time.Second
	confirmTimeout = time.Second
	pauseLimit     = 750 * time.Millisecond
	readerRole     = "tree-reader"
)

// treeReader tracks whether the version of the tree in force is confirmed.
type treeReader struct {
	mu         sync.Mutex
	pauseGuard lease.PauseDetector
	confirmed  time.Time
	// needsConfirm is set after a pause of the process, until the version is confirmed.
	needsConfirm bool

	stopCoordinator context.CancelFunc
	coordinatorDone chan struct{}
}

func (r *treeReader) setPauseLimit() { r.pauseGuard.Limit = pauseLimit }

// checkPause records a pause of the process.
func (r *treeReader) checkPause(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pauseGuard.Tick(now) {
		r.needsConfirm = true
	}
}

// confirmNeeded reports whether the version must be confirmed before a decision is
// made by it.
func (r *treeReader) confirmNeeded(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pauseGuard.Paused(now) {
		r.needsConfirm = true
	}
	return r.needsConfirm
}

// setConfirmed records that the version was current at the given time.
func (r *treeReader) setConfirmed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = now
	r.needsConfirm = false
}

// stale reports whether the version was not confirmed for staleAfter.
func (r *treeReader) stale(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.needsConfirm || now.Sub(r.confirmed) > staleAfter
}

// followTree keeps the tree current until ctx ends. One instance of the hall polls
// the table; the others learn of a new version from its hellos.
func (e *Entry) followTree(ctx context.Context) {
	go e.watchPauses(ctx)
	t := time.NewTicker(readInterval)
	defer t.Stop()
	for {
		now := clock.Now()
		if e.isReader(now) || e.reader.stale(now) {
			e.readTree(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

const pauseCheckInterval = 100 * time.Millisecond

// watchPauses detects pauses of the process until ctx ends.
func (e *Entry) watchPauses(ctx context.Context) {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.reader.checkPause(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// isReader reports whether this instance polls the table for its hall.
func (e *Entry) isReader(now time.Time) bool {
	members := []string{e.settings.Instance}
	for _, p := range e.peers.Live(e.settings.Hall, now) {
		if !p.Leaving && !p.CutOff {
			members = append(members, p.Instance)
		}
	}
	return hall.Rank(readerRole, members)[0] == e.settings.Instance
}

// readTree asks the table for the version of the tree and installs a newer tree. It
// returns false if the table cannot be read.
func (e *Entry) readTree(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := clock.Now()
	version, err := e.store.Version(ctx)
	if err != nil {
		return false
	}
	if version > e.register.Current().Version {
		head, err := e.store.Load(ctx)
		if err != nil {
			return false
		}
		e.installTree(head)
	}
	e.reader.setConfirmed(sent)
	return true
}

func (e *Entry) installTree(head tree.Head) {
	installed, err := e.register.InstallHead(head)
	if err != nil {
		level.Error(e.kit.Log).Log("msg", "tree not installed", "version", head.Version, "err", err)
		return
	}
	if installed {
		fault.At(fault.EditInstalled)
		level.Info(e.kit.Log).Log("msg", "tree installed", "version", head.Version)
	}
}

// fetchNewerTree fetches the tree from a peer that announced a newer version, unless a fetch
// is in progress: with a fetch per announcing peer, a slow link would be saturated and none
// would finish in time.
func (e *Entry) fetchNewerTree(addr string) {
	if !e.fetchingTree.CompareAndSwap(false, true) {
		return
	}
	defer e.fetchingTree.Store(false)
	e.fetchTree(addr)
}

// fetchTree gets the tree from a peer and installs it if it is newer. It returns
// false if the peer cannot be reached.
func (e *Entry) fetchTree(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	fault.At(fault.EditSpread)
	body := &wire.Request_Tree{Tree: &wire.TreeQuery{Above: e.register.Current().Version}}
	reply, err := e.dialer.Do(ctx, addr, &wire.Request{Body: body})
	if err != nil {
		return false
	}
	t := reply.GetTree()
	if len(t.GetDoc()) > 0 {
		e.installTree(tree.Head{Version: t.Version, Doc: t.Doc})
	}
	return true
}

// confirmTree makes sure, after a pause of this process, that the tree in force is
// the newest known to the table or, if that is unreachable, to a peer. If neither
// answers, the instance is cut off and goes on with the tree it has.
func (e *Entry) confirmTree(ctx context.Context) {
	if !e.reader.confirmNeeded(clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if e.readTree(ctx) {
		return
	}
	now := clock.Now()
	for _, p := range e.peers.Live("", now) {
		if e.fetchTree(p.Addr) {
			break
		}
	}
	e.reader.setConfirmed(now)
}
