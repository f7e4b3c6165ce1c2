// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"sort"
	"sync"
	"time"

	"dewpass.org/lease"
	"dewpass.org/wire"
)

const (
	// localPeerTimeout and remotePeerTimeout are how long a peer counts as live
	// after its last hello, in this hall and in other halls. Hellos between halls
	// are less frequent.
	localPeerTimeout  = 2300 * time.Millisecond
	remotePeerTimeout = 16 * time.Second
)

const (
	// addrRetention is how long an address is retried when nobody answers there
	// and no peer mentions it. It is longer than regions stay disconnected.
	addrRetention = 2 * time.Hour
	// addrRetryInterval is the least time between attempts at an address without a live peer.
	addrRetryInterval = 2 * time.Second
)

// Peer is what this instance knows about another one.
type Peer struct {
	Instance    string
	Hall        string
	Boot        string
	Addr        string
	Leaving     bool
	CutOff      bool
	TreeVersion uint64
	Racks       []*wire.Rack
	// RacksSeq is the sequence number of the summaries in Racks.
	RacksSeq uint64
	// SeenRacks is the sequence number of the latest summaries of this instance that
	// the peer has.
	SeenRacks uint64
	// LastHeard is when the last hello of the peer arrived, by this instance's clock.
	LastHeard time.Time
	// Members is the number of live instances in the peer's hall, as it reports.
	Members uint32
	// remote is set for a peer in another hall.
	remote bool
}

// Live reports whether the last hello of p is recent enough.
func (p *Peer) Live(now time.Time) bool {
	if p.remote {
		return now.Sub(p.LastHeard) < remotePeerTimeout
	}
	return now.Sub(p.LastHeard) < localPeerTimeout
}

// Peers holds what an instance knows about the others. Create one with NewPeers.
type Peers struct {
	self string
	hall string

	mu    sync.Mutex
	known map[string]*Peer
	// addrs holds the addresses of possible peers with the time until which hellos
	// are sent to them. Those from the settings have the zero time and never expire.
	addrs map[string]time.Time
	// lastTried is when an address without a live peer was last tried.
	lastTried map[string]time.Time
}

// NewPeers returns the peers of an instance, with the addresses from its settings.
func NewPeers(self, hall string, first []string) *Peers {
	p := &Peers{
		self: self, hall: hall, known: make(map[string]*Peer),
		addrs: make(map[string]time.Time), lastTried: make(map[string]time.Time),
	}
	for _, a := range first {
		p.addrs[a] = time.Time{}
	}
	return p
}

// HandleHello records a hello of a peer. The known racks stay unchanged if the
// hello leaves them out.
func (p *Peers) HandleHello(h *wire.Hello, now time.Time) {
	if h == nil || h.Instance == "" || h.Instance == p.self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[h.Instance]
	if known == nil || known.Boot != h.Boot {
		known = &Peer{Instance: h.Instance}
		p.known[h.Instance] = known
	}
	known.Hall, known.Boot, known.Addr = h.Hall, h.Boot, h.PeerAddr
	known.remote = h.Hall != p.hall
	known.Leaving, known.CutOff = h.Leaving, h.CutOff
	known.TreeVersion = max(known.TreeVersion, h.TreeVersion)
	known.SeenRacks, known.Members = h.SeenRacksSeq, h.Members
	if h.RacksSeq != known.RacksSeq && !h.RacksOmitted {
		known.Racks, known.RacksSeq = h.Racks, h.RacksSeq
	}
	known.LastHeard = now
	p.addAddr(h.PeerAddr, now)
	for _, o := range h.Peers {
		if o.Instance != p.self {
			p.addAddr(o.Addr, now)
		}
	}
}

// AddAddr adds an address at which a peer may be reachable.
func (p *Peers) AddAddr(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addAddr(addr, now)
}

func (p *Peers) addAddr(addr string, now time.Time) {
	if until, ok := p.addrs[addr]; ok && until.IsZero() {
		return
	}
	p.addrs[addr] = now.Add(addrRetention)
}

// HelloTargets returns the addresses to send a hello to: all live peers of this
// hall, one peer of each other hall (the one that this instance prefers), and the
// addresses without a live peer that are due for a retry.
func (p *Peers) HelloTargets(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool)
	remote := make(map[string][]*Peer)
	for _, k := range p.known {
		switch {
		case !k.Live(now):
		case k.Hall == p.hall:
			out[k.Addr] = true
		default:
			remote[k.Hall] = append(remote[k.Hall], k)
		}
	}
	for _, list := range remote {
		out[p.preferred(list).Addr] = true
	}
	for _, addr := range p.dueRetries(now, remote) {
		out[addr] = true
	}
	return sortedKeys(out)
}

// preferred returns the peer of another hall with the highest weight for this
// instance, so that instances spread over the peers.
func (p *Peers) preferred(list []*Peer) *Peer {
	best := list[0]
	for _, k := range list[1:] {
		if weight(p.self, k.Instance) > weight(p.self, best.Instance) {
			best = k
		}
	}
	return best
}

// dueRetries returns the addresses without a live peer that are due for another
// attempt. An address in another hall is skipped while any peer of that hall is
// live.
func (p *Peers) dueRetries(now time.Time, remote map[string][]*Peer) []string {
	at := make(map[string]*Peer, len(p.known))
	for _, k := range p.known {
		at[k.Addr] = k
	}
	var out []string
	for addr, until := range p.addrs {
		if !until.IsZero() && now.After(until) {
			delete(p.addrs, addr)
			delete(p.lastTried, addr)
			continue
		}
		k := at[addr]
		known := k != nil && (k.Live(now) || len(remote[k.Hall]) > 0)
		if known || now.Sub(p.lastTried[addr]) < addrRetryInterval {
			continue
		}
		p.lastTried[addr] = now
		out = append(out, addr)
	}
	return out
}

func sortedKeys(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Live returns the live peers of a hall, or of all halls for "", sorted by name.
func (p *Peers) Live(hall string, now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Peer
	for _, k := range p.known {
		if k.Live(now) && (hall == "" || k.Hall == hall) {
			out = append(out, *k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Get returns what is known about an instance.
func (p *Peers) Get(instance string) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[instance]
	if k == nil {
		return Peer{}, false
	}
	return *k, true
}

// Claim is the ownership of a rack as its owner reports it.
type Claim struct {
	Owner string
	Epoch lease.Epoch
	Rack  *wire.Rack
}

// Claims returns the racks that live peers of a hall own. Where two claim the
// same rack, the higher epoch wins.
func (p *Peers) Claims(hall string, now time.Time) map[string]Claim {
	out := make(map[string]Claim)
	for _, peer := range p.Live(hall, now) {
		for _, r := range peer.Racks {
			e := lease.Epoch{Table: r.EpochTable, Local: r.EpochLocal}
			if c, ok := out[r.Rack]; ok && !c.Epoch.Less(e) {
				continue
			}
			out[r.Rack] = Claim{Owner: peer.Instance, Epoch: e, Rack: r}
		}
	}
	return out
}

// Halls returns the sorted names of the halls with a known live peer.
func (p *Peers) Halls(now time.Time) []string {
	set := make(map[string]bool)
	for _, peer := range p.Live("", now) {
		set[peer.Hall] = true
	}
	return sortedKeys(set)
}

// Instances returns the number of live instances in all halls, this one
// included. Hellos go to only one instance of each other hall, which reports how
// many instances its hall has.
func (p *Peers) Instances(now time.Time) int {
	remote := make(map[string]uint32)
	n := 1
	for _, peer := range p.Live("", now) {
		if peer.Hall == p.hall {
			n++
			continue
		}
		remote[peer.Hall] = max(remote[peer.Hall], peer.Members, 1)
	}
	for _, members := range remote {
		n += int(members)
	}
	return n
}
