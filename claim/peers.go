// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"slices"
	"time"
)

const (
	// AnswerMaxAge is for how long an owner may rely on an answer to a greeting, counted from when the
	// greeting was sent.
	AnswerMaxAge = MinValidity
	// OwnerActiveTime is how long an instance must not have heard an owner before it may take its
	// cell: until then the owner may rely on an answer of this instance.
	OwnerActiveTime = AnswerMaxAge + TakeoverMargin
	// PeerRetention is how long a peer must have been silent to count as gone for good, as an owner
	// that can write its lease sees it.
	PeerRetention = 10 * time.Minute
)

// Answer is the reply of another instance to a greeting of an owner.
type Answer struct {
	Instance, Hall, Boot string
	// Sent is when the greeting was sent.
	Sent time.Time
	// StatesContests means that the build of the instance fills Contested, and asks others of its hall
	// before it takes a cell.
	StatesContests bool
	// Contested are those of the owner's cells that may have, or soon get, another owner.
	Contested []string
}

// Peers decides whether an owner whose lease has expired may go on: it may, while no other instance
// has taken its cell since then or could. It holds what the other instances have answered. The zero
// value is ready for use; it must not be used concurrently.
type Peers struct {
	// Hall is the owner's data hall.
	Hall  string
	peers map[string]*peer
}

// peer is what is known of one other instance.
type peer struct {
	// boot identifies its process; it is empty if the instance was never heard, but is listed.
	hall, boot string
	// firstHeard is when the instance was first heard or listed, bootHeard when its current process
	// was, and heard when it last was.
	firstHeard, bootHeard, heard time.Time
	// answered is when the last greeting that it answered was sent, and refused when its address
	// last refused a connection.
	answered, refused time.Time
	// accountedSince begins the period in which answers and refused connections followed each other
	// within AnswerMaxAge, so that no process of the instance was there that did not hear the owner.
	accountedSince time.Time
	statesContests bool
	contested      []string
	// leaving means that its process has said that it stops.
	leaving bool
}

// Heard records that a process of an instance was heard.
func (p *Peers) Heard(instance, hall, boot string, now time.Time) {
	if p.peers == nil {
		p.peers = make(map[string]*peer)
	}
	k := p.peers[instance]
	if k == nil {
		k = &peer{firstHeard: now}
		p.peers[instance] = k
	}
	if k.boot != boot {
		k.boot, k.bootHeard = boot, now
		// What the former process has said of itself does not hold for this one.
		k.statesContests, k.contested, k.leaving = false, nil, false
	}
	k.hall, k.heard = hall, now
}

// Leaving records that the process of an instance that was heard has said that it stops. One that is
// silent then tells nothing of the network.
func (p *Peers) Leaving(instance string) {
	if k := p.peers[instance]; k != nil {
		k.leaving = true
	}
}

// Listed records that the store lists an instance, which may be alive although it was never heard.
func (p *Peers) Listed(instance, hall string, now time.Time) {
	if p.peers[instance] == nil {
		p.Heard(instance, hall, "", now)
	}
}

// Answered records an answer that arrived now.
func (p *Peers) Answered(a Answer, now time.Time) {
	p.Heard(a.Instance, a.Hall, a.Boot, now)
	k := p.peers[a.Instance]
	if a.Sent.Before(k.answered) {
		return
	}
	k.account(a.Sent)
	k.answered, k.statesContests, k.contested = a.Sent, a.StatesContests, a.Contested
}

// Refused records that the address of an instance has refused a connection.
func (p *Peers) Refused(instance string, now time.Time) {
	if k := p.peers[instance]; k != nil {
		k.account(now)
		k.refused = now
	}
}

// account extends the period in which the instance is accounted for, or begins a new one.
func (k *peer) account(at time.Time) {
	last := k.answered
	if k.refused.After(last) {
		last = k.refused
	}
	if at.Sub(last) > AnswerMaxAge {
		k.accountedSince = at
	}
}

// Objection says why an owner whose lease has expired must not go on. The zero value means that it
// may.
type Objection struct {
	// Peer is the instance that may own the cell or take it; empty if it is not a single one.
	Peer   string
	Reason ObjectionReason
}

// ObjectionReason is the reason of an Objection.
type ObjectionReason string

// The reasons of an Objection.
const (
	// NoPeers: no other instance is known, so that this one may be the one that is cut off.
	NoPeers ObjectionReason = "no other instance is known"
	// Contested: the instance has taken the cell, tries to, or knows of one that does.
	Contested ObjectionReason = "it contests the cell"
	// Unaccounted: the instance answers, but was silent since the lease was valid, and does not
	// know or say what it did meanwhile.
	Unaccounted ObjectionReason = "it was silent for a while"
	// Silent: the instance does not answer, nor does another one of its hall vouch for it.
	Silent ObjectionReason = "it does not answer"
	// MostSilent: half of all instances or more do not answer.
	MostSilent ObjectionReason = "half of all instances do not answer"
)

// Objection returns why the owner of a cell, whose lease has expired, must not give orders now. last
// is its last write of the lease. It may go on while each other instance
//
//   - answers and does not contest the cell, and either its process has been there since the lease
//     was valid or it was never silent since then; or
//   - has no process, and had none or answered ever since the lease was valid. A refused connection
//     shows that only if another instance of its hall answers, since a hall that is cut off may
//     refuse all connections; or
//   - is named as absent in the lease, and may not take it yet; or
//   - is vouched for by another instance of its hall, the owner included, which it would have asked
//     before it took the cell. Those that are silent must be fewer than half of all instances.
func (p *Peers) Objection(cell string, last Write, now time.Time) Objection {
	if len(p.peers) == 0 {
		return Objection{Reason: NoPeers}
	}
	exempt, view := last.ExemptInstances(now), p.viewOf(cell, last, now)
	silent := 0
	for name, k := range p.peers {
		if k.goneFor(last.Begun) > PeerRetention {
			continue
		}
		reason := view.objectionOf(k)
		switch {
		case reason == "" || (reason != Contested && slices.Contains(exempt, name)):
		case reason != Contested && (k.statesContests || k.boot == "") && view.vouching[k.hall]:
			if reason == Silent && !k.leaving {
				silent++
			}
		default:
			return Objection{Peer: name, Reason: reason}
		}
	}
	if 2*silent > len(p.peers) {
		return Objection{Reason: MostSilent}
	}
	return Objection{}
}

// goneFor returns for how long the instance had not been heard at a time.
func (k *peer) goneFor(at time.Time) time.Duration { return at.Sub(k.heard) }

// peerView is the state of all peers for one decision about a cell.
type peerView struct {
	cell string
	last Write
	now  time.Time
	// answering are the halls of which an instance answers, and vouching those of which one has
	// been there all the time since the lease was valid, and so would have been asked.
	answering, vouching map[string]bool
}

func (p *Peers) viewOf(cell string, last Write, now time.Time) *peerView {
	v := &peerView{cell: cell, last: last, now: now, answering: map[string]bool{p.Hall: true}, vouching: make(map[string]bool)}
	for _, k := range p.peers {
		if v.fresh(k.answered) {
			v.answering[k.hall] = true
		}
	}
	for _, k := range p.peers {
		if v.fresh(k.answered) && k.statesContests && !k.bootHeard.After(v.expired()) && v.accounted(k) && v.objectionOf(k) == "" {
			// The answers also show that the owner itself was there.
			v.vouching[k.hall], v.vouching[p.Hall] = true, true
		}
	}
	return v
}

// expired returns when the lease expired.
func (v *peerView) expired() time.Time { return v.last.Begun.Add(v.last.Valid) }

// accounted reports whether the instance has been accounted for since the lease was valid.
func (v *peerView) accounted(k *peer) bool { return !k.accountedSince.After(v.expired()) }

func (v *peerView) fresh(at time.Time) bool { return v.now.Sub(at) <= AnswerMaxAge }

// objectionOf returns why the instance itself does not show that it leaves the cell to its owner, ""
// if it does.
func (v *peerView) objectionOf(k *peer) ObjectionReason {
	// What a process says of itself covers its whole time.
	speaks := k.statesContests && (!k.bootHeard.After(v.expired()) || k.bootHeard.Equal(k.firstHeard))
	switch {
	// The owner has written the lease since an earlier answer.
	case !k.answered.Before(v.last.Begun) && slices.Contains(k.contested, v.cell):
		return Contested
	case v.fresh(k.answered):
		if !v.accounted(k) && !speaks {
			return Unaccounted
		}
		return ""
	case v.fresh(k.refused) && v.answering[k.hall] && v.accounted(k):
		return ""
	}
	return Silent
}

// Absent returns the names of the instances that have neither answered nor been heard for a time,
// sorted. It returns none if these are half of all or more, those that have said that they stop left
// out: this instance may then be the one that is cut off, and the others should take its cells without
// delay.
func (p *Peers) Absent(now time.Time, silence time.Duration) []string {
	staying, silentStaying, silent := 0, 0, []string(nil)
	for name, k := range p.peers {
		if k.goneFor(now) > PeerRetention {
			continue
		}
		isSilent := now.Sub(k.answered) > silence && now.Sub(k.heard) > silence
		if isSilent {
			silent = append(silent, name)
		}
		if !k.leaving {
			staying++
			if isSilent {
				silentStaying++
			}
		}
	}
	if 2*silentStaying >= staying {
		return nil
	}
	slices.Sort(silent)
	return silent
}
