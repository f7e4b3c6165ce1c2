// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/config"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/pack"
	"dewpass.org/kind"
	"dewpass.org/retry"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

// The configuration arrives in one way at a time: the store's feed brings each change once, or, at a
// passive instance, a peer. Only if a peer has had a newer version for a while and the store delivers
// nothing is a peer asked as well, and only one at a time. So the amount that an instance reads does
// not grow with the number of its peers, and a change occupies its link for one transfer.
const (
	// configRetryPause is the pause between attempts while there is no configuration, the feed
	// fails, or it answers without waiting.
	configRetryPause = 200 * time.Millisecond
	// feedWait is how long one call to the feed waits for a change. A connection that has gone
	// silent is noticed that much later than with a call that returns at once.
	feedWait = 900 * time.Millisecond
	// positionTTL is how long after its last answer the position in the feed is still used: longer
	// than one call without an answer takes, 2.4 s. After that the whole document is read: the
	// feed would bring every version that was missed, the document brings only the last.
	positionTTL = 3 * time.Second
	// fullReadRate is the number of bytes a second spent on average on reading the whole document
	// again, in case the feed has left out a change: less than half of the 5 KB a second that an
	// instance has for control traffic. 11 KB for 45 queues are read every 6 s, 800 KB for 4,000
	// queues every 7 minutes. minFullReadInterval is the minimum time between two such reads.
	fullReadRate        = 2 << 10
	minFullReadInterval = 5 * time.Second
	// The instances of a hall together read the whole document fullReadRedundancy times as often as
	// a single one would, so that some do while others are down.
	fullReadRedundancy = 4
	// fetchDelay is how long the store's feed has to start to deliver a configuration that a peer
	// has: longer than a large one takes over an ordinary link.
	fetchDelay = 250 * time.Millisecond
	// fetchTimeout limits a request to a peer, so that one that is paused does not delay the
	// request to another: a link of 10 Mbit/s carries 1.2 MB of compressed data in it.
	fetchTimeout = time.Second
	// configErrorLogInterval limits the log lines on failed reads of the configuration; counters
	// count all of them.
	configErrorLogInterval = 2 * time.Second
)

func (n *Instance) install(c *config.Config, from string) {
	if c == nil || !n.config.Install(c) {
		return
	}
	level.Info(n.kit.Log).Log("event", "config", "version", c.Version, "queues", len(c.Queues), "accounts", len(c.Accounts), "bytes", len(c.Raw), "from", from)
	for _, own := range n.ownCells() {
		n.configure(own.driver)
	}
}

// configFreshTime is how long after the last answer of the store's feed this instance may tell a
// caller that its key is unknown, rather than that it cannot decide.
const configFreshTime = 2 * time.Second

// Unauthorized returns the error for a call to a queue without a key or with an unknown one. An
// instance that may have missed a change of the configuration returns Unavailable instead of
// Unauthorized: the key may be newer than its configuration.
func (n *Instance) Unauthorized(queue string) error {
	heard := n.configConfirmedAt.Load()
	age := clock.Since(n.startedAt)
	if heard != nil {
		age = clock.Since(*heard)
	}
	n.kit.Scope.Counter("calls_unauthorized_total").Inc(1)
	level.Info(n.kit.Log).Log("event", "unauthorized", "queue", queue, "config", n.config.Version(), "age_ms", age.Milliseconds())
	if heard == nil || age > configFreshTime {
		return kind.New(kind.Unavailable, "the configuration may be older than the key").WithRetryAfter(retry.MinDelay)
	}
	return kind.New(kind.Unauthorized, "the queue needs a valid key of a client account")
}

// followConfig applies changes of the configuration as the store reports them, until ctx ends.
func (n *Instance) followConfig(ctx context.Context) {
	var f feedState
	for ctx.Err() == nil {
		now := clock.Now()
		if n.passive(now) {
			sleep(ctx, passiveCheckInterval)
			continue
		}
		interval := fullReadInterval(n.config.Load()) * time.Duration(fullReadDivisor(n.members.liveInHall(now)))
		full := f.needsFullRead(now, interval)
		begun := clock.Now()
		c, from, at, err := n.readConfig(ctx, full, f.position)
		n.finishTransfer(c, from, begun, err)
		f.update(full, at, err, clock.Now())
		if err == nil {
			n.confirmConfig()
		}
		if c == nil && clock.Since(begun) < configRetryPause {
			// The call failed at once, or did not wait.
			sleep(ctx, configRetryPause)
		}
	}
}

// feedState is the position of an instance in the feed of the configuration.
type feedState struct {
	// position is the version of the store to continue from, 0 if there is none.
	position uint64
	// answeredAt is when a call was last answered, and fullReadAt when the whole document was last
	// requested.
	answeredAt, fullReadAt time.Time
}

// needsFullRead reports whether the whole document is to be read next. interval is the time between
// such reads.
func (f *feedState) needsFullRead(now time.Time, interval time.Duration) bool {
	return f.position == 0 || now.Sub(f.answeredAt) > positionTTL || now.Sub(f.fullReadAt) > interval
}

// fullReadDivisor returns by how much less often than alone each of inHall instances of a hall
// reads the whole document: a version that one of them finds, the others learn of by greetings.
// When each of 147 instances read it on its own schedule, that was a tenth of all reads of the
// store.
func fullReadDivisor(inHall int) int { return max(1, inHall/fullReadRedundancy) }

// update records the result of a call. A failed call leaves the position as it was, unless the
// store no longer has the changes since then, or the call returned a document that cannot be used.
func (f *feedState) update(full bool, at uint64, err error, now time.Time) {
	if full {
		f.fullReadAt = now
	}
	switch {
	case kind.Is(err, kind.Conflict):
		f.position = 0
	case err == nil || at > f.position:
		f.position, f.answeredAt = at, now
	}
}

// fullReadInterval returns the interval between reads of the whole document by a single instance.
func fullReadInterval(c *config.Config) time.Duration {
	if c == nil {
		return minFullReadInterval
	}
	return max(minFullReadInterval, time.Duration(len(c.Raw))*time.Second/fullReadRate)
}

// readConfig reads the whole configuration, or waits for a change after a position in the feed. It
// returns the position to continue from.
func (n *Instance) readConfig(ctx context.Context, full bool, position uint64) (c *config.Config, from string, at uint64, err error) {
	if full {
		c, at, err = n.configs.Get(ctx)
		return c, "read", at, err
	}
	c, at, err = n.configs.Changes(ctx, position, feedWait)
	return c, "feed", at, err
}

// noteConfigData records that data of the store's answer with the configuration has arrived.
func (n *Instance) noteConfigData() {
	now := clock.Now()
	n.configDataAt.Store(&now)
}

// configArriving reports whether the store is currently delivering the configuration.
func (n *Instance) configArriving(now time.Time) bool {
	last := n.configDataAt.Load()
	return last != nil && now.Sub(*last) < fetchDelay
}

// fetchFromPeer requests a newer configuration from a peer that has it, unless the store's feed
// delivers it within fetchDelay. A passive instance reads no feed: it does not wait, and asks an owner
// of its own choice first, because all hear of a new version from the same owner.
func (n *Instance) fetchFromPeer(addr string, version uint64) {
	if !n.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer n.fetchingConfig.Store(false)
	if now := clock.Now(); n.passive(now) {
		if owner := n.drawnOwner(now); owner != "" && owner != addr {
			n.fetchOnce(owner)
		}
	} else {
		time.Sleep(fetchDelay)
	}
	if n.config.Version() < version && !n.configArriving(clock.Now()) {
		n.fetchOnce(addr)
	}
}

// drawnOwner returns the address of an owner of a cell, another one for each instance; "" if none is
// heard.
func (n *Instance) drawnOwner(now time.Time) string {
	addr, lowest := "", uint32(0)
	for _, o := range n.members.list(now, func(k *member) bool { return len(k.cells) > 0 && k.responsive(now) }) {
		if draw := n.tieBreak(o.name); addr == "" || draw < lowest {
			addr, lowest = o.addr, draw
		}
	}
	return addr
}

// fetchOnce requests a newer configuration from a peer.
func (n *Instance) fetchOnce(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	begun := clock.Now()
	c, err := n.requestConfig(ctx, addr)
	n.finishTransfer(c, "peer", begun, err)
}

// requestConfig asks a peer for a newer configuration. It returns nil if the peer has none.
func (n *Instance) requestConfig(ctx context.Context, addr string) (*config.Config, error) {
	reply, err := n.dialer.Do(ctx, addr, &wire.Request{Body: &wire.Request_Config{
		Config: &wire.ConfigQuery{Above: n.config.Version()},
	}})
	if err != nil || len(reply.GetConfig().GetDoc()) == 0 {
		return nil, err
	}
	raw, err := pack.Decompress(reply.GetConfig().Doc)
	if err != nil {
		return nil, err
	}
	return n.ParseConfig(raw)
}

// finishTransfer installs the result of a request for the configuration. It counts transfers and
// their cost, and logs failures.
func (n *Instance) finishTransfer(c *config.Config, from string, begun time.Time, err error) {
	took := clock.Since(begun)
	scope := n.kit.Scope.Tagged(map[string]string{"from": from})
	if err != nil {
		scope.Counter("config_transfers_failed_total").Inc(1)
		if last := n.configErrorLoggedAt.Load(); last != nil && clock.Since(*last) < configErrorLogInterval {
			return
		}
		now := clock.Now()
		n.configErrorLoggedAt.Store(&now)
		level.Info(n.kit.Log).Log("event", "config_not_read", "from", from, "has", n.config.Version(), "took_ms", took.Milliseconds(), "err", err)
		return
	}
	if c == nil {
		return
	}
	scope.Counter("config_transfers_total").Inc(1)
	scope.Counter("config_bytes_total").Inc(int64(len(c.Raw)))
	scope.Histogram("config_transfer_seconds", telemetry.LatencyBuckets()).RecordDuration(took)
	n.install(c, from)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
