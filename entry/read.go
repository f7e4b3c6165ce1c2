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
	readEvery = time.Second
	// stepIn is how long the version may not have been confirmed before an
	// instance that is not the reader of its hall asks the table itself.
	stepIn         = 2 * time.Second
	readTimeout    = 2 * time.Second
	confirmTimeout = time.Second
	pauseLimit     = 750 * time.Millisecond
	readerRole     = "tree-reader"
)

// reader follows the version of the tree.
type reader struct {
	mu        sync.Mutex
	guard     lease.PauseDetector
	confirmed time.Time
	// doubt is set after a pause, until the version is confirmed.
	doubt bool

	stopKeeper context.CancelFunc
	keeperDone chan struct{}
}

func (r *reader) limit() { r.guard.Limit = pauseLimit }

// tick notes a pause.
func (r *reader) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.guard.Tick(now) {
		r.doubt = true
	}
}

// doubtful reports whether the version must be confirmed before a decision.
func (r *reader) doubtful(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.guard.Paused(now) {
		r.doubt = true
	}
	return r.doubt
}

func (r *reader) confirm(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = now
	r.doubt = false
}

func (r *reader) stale(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubt || now.Sub(r.confirmed) > stepIn
}

// read follows the tree until ctx ends. One instance of the hall asks the
// table; the others hear of a new version in its hellos.
func (e *Entry) read(ctx context.Context) {
	go e.watchPauses(ctx)
	t := time.NewTicker(readEvery)
	defer t.Stop()
	for {
		now := clock.Now()
		if e.isReader(now) || e.reader.stale(now) {
			e.readTable(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

const pauseTick = 100 * time.Millisecond

func (e *Entry) watchPauses(ctx context.Context) {
	t := time.NewTicker(pauseTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.reader.tick(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) isReader(now time.Time) bool {
	members := []string{e.settings.Instance}
	for _, p := range e.peers.Live(e.settings.Hall, now) {
		if !p.Leaving && !p.CutOff {
			members = append(members, p.Instance)
		}
	}
	return hall.Rank(readerRole, members)[0] == e.settings.Instance
}

// readTable asks the table for the version and installs a higher one.
func (e *Entry) readTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := clock.Now()
	version, err := e.store.Version(ctx)
	if err != nil {
		return false
	}
	if version > e.register.Now().Version {
		head, err := e.store.Load(ctx)
		if err != nil {
			return false
		}
		e.install(head)
	}
	e.reader.confirm(sent)
	return true
}

func (e *Entry) install(head tree.Head) {
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

// pullNewer fetches the tree of a peer that has greeted with a higher version, unless one
// is being fetched: a tree for each peer that has it would fill a thin link, and none
// would arrive in time.
func (e *Entry) pullNewer(addr string) {
	if !e.pulling.CompareAndSwap(false, true) {
		return
	}
	defer e.pulling.Store(false)
	e.pull(addr)
}

// pull fetches the tree of a peer that has a higher version.
func (e *Entry) pull(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	fault.At(fault.EditSpread)
	body := &wire.Request_Tree{Tree: &wire.TreeQuery{Above: e.register.Now().Version}}
	reply, err := e.dialer.Do(ctx, addr, &wire.Request{Body: body})
	if err != nil {
		return false
	}
	t := reply.GetTree()
	if len(t.GetDoc()) > 0 {
		e.install(tree.Head{Version: t.Version, Doc: t.Doc})
	}
	return true
}

// confirm makes sure, after a pause of this process, that the tree in force is
// the newest that the table, or else a peer, knows of. When nobody can be
// asked, the instance is cut off and goes on with what it has.
func (e *Entry) confirm(ctx context.Context) {
	if !e.reader.doubtful(clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if e.readTable(ctx) {
		return
	}
	now := clock.Now()
	for _, p := range e.peers.Live("", now) {
		if e.pull(p.Addr) {
			break
		}
	}
	e.reader.confirm(now)
}
