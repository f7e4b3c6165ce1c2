// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/retry"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

// The configuration comes on one way at a time: the store's feed brings each change once.
// Only when a peer has had a newer one for a while, and nothing comes from the store, is
// it asked as well, and one peer at a time. What an instance reads does not grow with the
// number of its peers, and a change takes the link of an instance for one transfer.
const (
	// configSoon spaces tries while there is no configuration, the feed fails, or it
	// answers without waiting.
	configSoon = 200 * time.Millisecond
	// configWait is how long the feed is waited on at once. A connection that has gone
	// silent is noticed that much later than with a plain call.
	configWait = 900 * time.Millisecond
	// positionKept is for how long after its last answer the position in the feed is gone
	// on from: more than one call without an answer takes, 2.4 s. The feed brings each
	// version that was missed, the document alone brings the last.
	positionKept = 3 * time.Second
	// auditRate is how many bytes a second are spent, on average, on reading the whole
	// document again in case the feed has left out a change: less than half of the 5 KB
	// a second that an instance has for control. 11 KB for 45 queues are read every 6 s,
	// 800 KB for 4,000 queues every 7 minutes; auditLeast is the least time between two.
	auditRate  = 2 << 10
	auditLeast = 5 * time.Second
	// auditTeam is how many instances of a hall each read it as often as if they were alone,
	// so that some do while others are down.
	auditTeam = 4
	// fetchAfter is how long the store's feed has to begin to bring a configuration that
	// a peer has: longer than a large one takes over an ordinary link.
	fetchAfter = 250 * time.Millisecond
	// fetchTime bounds the asking of a peer, so that one that has paused does not hold
	// up the asking of another: 10 Mbit/s carry 1.2 MB, compressed, in it.
	fetchTime = time.Second
	// logConfigEvery spaces the lines on an unread configuration; counters have all.
	logConfigEvery = 2 * time.Second
)

func (n *Instance) install(c *config.Config, from string) {
	if c == nil || !n.config.Install(c) {
		return
	}
	level.Info(n.kit.Log).Log("event", "config", "version", c.Version, "queues", len(c.Queues), "accounts", len(c.Accounts), "bytes", len(c.Raw), "from", from)
	for _, own := range n.owned() {
		n.configure(own.driver)
	}
}

// configTrusted is for how long after the store's feed was last heard this instance may tell a
// caller that its key is not known, rather than that it cannot know.
const configTrusted = 2 * time.Second

// Unauthorized returns the error for a call to a queue with a key that is not known, or none. An
// instance that may have missed a change of the configuration does not say that a key is wrong:
// the key may be newer than what it has.
func (n *Instance) Unauthorized(queue string) error {
	heard := n.configHeard.Load()
	age := clock.Since(n.began)
	if heard != nil {
		age = clock.Since(*heard)
	}
	n.kit.Scope.Counter("calls_unauthorized_total").Inc(1)
	level.Info(n.kit.Log).Log("event", "unauthorized", "queue", queue, "config", n.config.Version(), "age_ms", age.Milliseconds())
	if heard == nil || age > configTrusted {
		return kind.New(kind.Unavailable, "the configuration may be older than the key").After(retry.Least)
	}
	return kind.New(kind.Unauthorized, "the queue needs a valid key of a client account")
}

// followConfig takes in the changes as the store tells them.
func (n *Instance) followConfig(ctx context.Context) {
	var f feedState
	for ctx.Err() == nil {
		now := clock.Now()
		audit := auditAfter(n.config.Now()) * time.Duration(auditors(n.members.inHall(now)))
		whole := f.whole(now, audit)
		begun := clock.Now()
		c, from, at, err := n.nextConfig(ctx, whole, f.position)
		n.transferred(c, from, begun, err)
		f.took(whole, at, err, clock.Now())
		if err == nil {
			now := clock.Now()
			n.configHeard.Store(&now)
		}
		if c == nil && clock.Since(begun) < configSoon {
			// It failed at once, or did not wait.
			sleep(ctx, configSoon)
		}
	}
}

// feedState is where an instance is in the feed of the configuration.
type feedState struct {
	// position is the version of the store to go on from, 0 if there is none.
	position uint64
	// heard is when a call was last answered, and read when the whole document was last
	// asked for.
	heard, read time.Time
}

// whole reports whether the whole document is read next.
func (f *feedState) whole(now time.Time, audit time.Duration) bool {
	return f.position == 0 || now.Sub(f.heard) > positionKept || now.Sub(f.read) > audit
}

// auditors returns among how many instances of a hall the readings of the whole document are
// divided, of so many: a version that one of them finds, the others hear of by greetings.
// Where each of 147 read it by itself, that was a tenth of all that is read of the store.
func auditors(inHall int) int { return max(1, inHall/auditTeam) }

// took takes in how a call ended. One that failed leaves the position as it was, unless
// the store has forgotten its changes, or the call brought a document that cannot be used.
func (f *feedState) took(whole bool, at uint64, err error, now time.Time) {
	if whole {
		f.read = now
	}
	switch {
	case kind.Is(err, kind.Conflict):
		f.position = 0
	case err == nil || at > f.position:
		f.position, f.heard = at, now
	}
}

// auditAfter returns after how long the whole document is read again.
func auditAfter(c *config.Config) time.Duration {
	if c == nil {
		return auditLeast
	}
	return max(auditLeast, time.Duration(len(c.Raw))*time.Second/auditRate)
}

// nextConfig reads the whole configuration, or waits for a change after a position in the
// feed. It returns the position to go on from.
func (n *Instance) nextConfig(ctx context.Context, whole bool, position uint64) (c *config.Config, from string, at uint64, err error) {
	if whole {
		c, at, err = n.configs.Get(ctx)
		return c, "read", at, err
	}
	c, at, err = n.configs.Changes(ctx, position, configWait)
	return c, "feed", at, err
}

// configArrives notes that the store's answer with the configuration brings something.
func (n *Instance) configArrives() {
	now := clock.Now()
	n.arriving.Store(&now)
}

// configComes reports whether the store is bringing the configuration.
func (n *Instance) configComes(now time.Time) bool {
	last := n.arriving.Load()
	return last != nil && now.Sub(*last) < fetchAfter
}

// fetchConfig takes a configuration that a peer has, unless the store's feed brings it
// meanwhile.
func (n *Instance) fetchConfig(addr string, version uint64) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	defer n.fetching.Store(false)
	time.Sleep(fetchAfter)
	if n.config.Version() >= version || n.configComes(clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
	defer cancel()
	begun := clock.Now()
	c, err := n.askConfig(ctx, addr)
	n.transferred(c, "peer", begun, err)
}

// askConfig asks a peer for a newer configuration. It returns nil if there is none.
func (n *Instance) askConfig(ctx context.Context, addr string) (*config.Config, error) {
	reply, err := n.dialer.Do(ctx, addr, &wire.Request{Body: &wire.Request_Config{
		Config: &wire.ConfigQuery{Above: n.config.Version()},
	}})
	if err != nil || len(reply.GetConfig().GetDoc()) == 0 {
		return nil, err
	}
	raw, err := config.Unpack(reply.GetConfig().Doc)
	if err != nil {
		return nil, err
	}
	return n.ParseConfig(raw)
}

// transferred takes in what came of asking for the configuration, and logs what a
// transfer cost or why there was none.
func (n *Instance) transferred(c *config.Config, from string, begun time.Time, err error) {
	took := clock.Since(begun)
	scope := n.kit.Scope.Tagged(map[string]string{"from": from})
	if err != nil {
		scope.Counter("config_transfers_failed_total").Inc(1)
		if last := n.configLogged.Load(); last != nil && clock.Since(*last) < logConfigEvery {
			return
		}
		now := clock.Now()
		n.configLogged.Store(&now)
		level.Info(n.kit.Log).Log("event", "config_not_read", "from", from, "has", n.config.Version(), "took_ms", took.Milliseconds(), "err", err)
		return
	}
	if c == nil {
		return
	}
	scope.Counter("config_transfers_total").Inc(1)
	scope.Counter("config_bytes_total").Inc(int64(len(c.Raw)))
	scope.Histogram("config_transfer_seconds", telemetry.Latency()).RecordDuration(took)
	n.install(c, from)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
