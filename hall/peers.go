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
	// silence is how long a peer of the own hall may not have said hello and
	// still count as live, and farSilence one of another hall, which says it
	// less often.
	silence    = 2300 * time.Millisecond
	farSilence = 16 * time.Second
)

const (
	// forget is how long an address is tried at which nobody answers and that
	// nobody speaks of: longer than regions lose each other.
	forget = 2 * time.Hour
	// tryEvery spaces the tries of an address at which nobody answers.
	tryEvery = 2 * time.Second
)

// Peer is what is known of another instance.
type Peer struct {
	Instance    string
	Hall        string
	Boot        string
	Addr        string
	Leaving     bool
	CutOff      bool
	TreeVersion uint64
	Racks       []*wire.Rack
	// RacksSeq numbers the summaries in Racks.
	RacksSeq uint64
	// SeenRacks is the number of this instance's summaries that it has.
	SeenRacks uint64
	// Heard is when its last hello came, by this instance's clock.
	Heard time.Time
	// Members is how many live instances its hall has, as it says.
	Members uint32
	// far marks a peer of another hall.
	far bool
}

// Live reports whether p has said hello lately.
func (p *Peer) Live(now time.Time) bool {
	if p.far {
		return now.Sub(p.Heard) < farSilence
	}
	return now.Sub(p.Heard) < silence
}

// Peers is what an instance knows of the others. Make one with NewPeers.
type Peers struct {
	self string
	hall string

	mu    sync.Mutex
	known map[string]*Peer
	// addrs are addresses at which somebody may be, with the time until which
	// to greet them.
	addrs map[string]time.Time
	// tried is when each address was last tried without a live peer there.
	tried map[string]time.Time
}

// NewPeers returns the peers of an instance, with the addresses that its
// settings name.
func NewPeers(self, hall string, first []string) *Peers {
	p := &Peers{
		self: self, hall: hall, known: make(map[string]*Peer),
		addrs: make(map[string]time.Time), tried: make(map[string]time.Time),
	}
	for _, a := range first {
		p.addrs[a] = time.Time{}
	}
	return p
}

// Heard takes in a hello. Racks stay as they were if the hello leaves them out
// because they have not changed.
func (p *Peers) Heard(h *wire.Hello, now time.Time) {
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
	known.far = h.Hall != p.hall
	known.Leaving, known.CutOff = h.Leaving, h.CutOff
	known.TreeVersion = max(known.TreeVersion, h.TreeVersion)
	known.SeenRacks, known.Members = h.SeenRacksSeq, h.Members
	if h.RacksSeq != known.RacksSeq && !h.RacksOmitted {
		known.Racks, known.RacksSeq = h.Racks, h.RacksSeq
	}
	known.Heard = now
	p.hint(h.PeerAddr, now)
	for _, o := range h.Peers {
		if o.Instance != p.self {
			p.hint(o.Addr, now)
		}
	}
}

// Hint tells of an address at which a peer may be.
func (p *Peers) Hint(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hint(addr, now)
}

func (p *Peers) hint(addr string, now time.Time) {
	if until, ok := p.addrs[addr]; ok && until.IsZero() {
		return
	}
	p.addrs[addr] = now.Add(forget)
}

// Greet returns the addresses to say hello to: the live peers of the own hall,
// of every other hall the one that ranks first for this instance, and now and
// then the addresses at which nobody has answered of late.
func (p *Peers) Greet(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool)
	far := make(map[string][]*Peer)
	for _, k := range p.known {
		switch {
		case !k.Live(now):
		case k.Hall == p.hall:
			out[k.Addr] = true
		default:
			far[k.Hall] = append(far[k.Hall], k)
		}
	}
	for _, list := range far {
		out[p.first(list).Addr] = true
	}
	for _, addr := range p.silent(now, far) {
		out[addr] = true
	}
	return sorted(out)
}

// first returns the peer of another hall that ranks first for this instance.
func (p *Peers) first(list []*Peer) *Peer {
	best := list[0]
	for _, k := range list[1:] {
		if weight(p.self, k.Instance) > weight(p.self, best.Instance) {
			best = k
		}
	}
	return best
}

// silent returns the addresses that are due for another try. An address of
// another hall is not tried while somebody of that hall is live.
func (p *Peers) silent(now time.Time, far map[string][]*Peer) []string {
	at := make(map[string]*Peer, len(p.known))
	for _, k := range p.known {
		at[k.Addr] = k
	}
	var out []string
	for addr, until := range p.addrs {
		if !until.IsZero() && now.After(until) {
			delete(p.addrs, addr)
			delete(p.tried, addr)
			continue
		}
		k := at[addr]
		known := k != nil && (k.Live(now) || len(far[k.Hall]) > 0)
		if known || now.Sub(p.tried[addr]) < tryEvery {
			continue
		}
		p.tried[addr] = now
		out = append(out, addr)
	}
	return out
}

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Live returns the live peers of a hall, or of all halls for "", by name.
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

// Get returns what is known of an instance.
func (p *Peers) Get(instance string) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[instance]
	if k == nil {
		return Peer{}, false
	}
	return *k, true
}

// Claim is a rack with its owner, as the owner itself says.
type Claim struct {
	Owner string
	Epoch lease.Epoch
	Rack  *wire.Rack
}

// Claims returns what live peers of a hall own. Where two claim one rack, the
// higher epoch counts.
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

// Halls returns the halls of which a live peer is known, by name.
func (p *Peers) Halls(now time.Time) []string {
	set := make(map[string]bool)
	for _, peer := range p.Live("", now) {
		set[peer.Hall] = true
	}
	return sorted(set)
}

// Instances returns how many live instances there are in all halls, this one
// included. Of another hall only one is greeted, and tells of the others.
func (p *Peers) Instances(now time.Time) int {
	far := make(map[string]uint32)
	n := 1
	for _, peer := range p.Live("", now) {
		if peer.Hall == p.hall {
			n++
			continue
		}
		far[peer.Hall] = max(far[peer.Hall], peer.Members, 1)
	}
	for _, members := range far {
		n += int(members)
	}
	return n
}
