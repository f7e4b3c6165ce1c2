// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"io"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
)

// forget ends a link. The lock is held.
func (d *Driver) forget(l *link, how cell.Loss, now time.Time) {
	d.cell.Forget(l.id, how, now)
	l.cancel()
	delete(d.links, l.id)
	d.workerListChanged = true
	notify(d.wake)
}

// workerDead takes in that a life of a worker is surely over.
func (d *Driver) workerDead(id string, how cell.Loss) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[id]; l != nil {
		d.dead(l, how)
	}
}

// dead ends the link to a worker whose life is surely over. The lock is held.
func (d *Driver) dead(l *link, how cell.Loss) {
	level.Info(d.Log).Log("event", "worker_dead", "worker", l.id, "why", string(how))
	d.forget(l, how, clock.Now())
}

// hungUp reports whether a call failed as its connection was ended or refused by the other
// side.
func hungUp(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
}

// lossBy returns what the failure of the last hold says of a worker whose leases are over. A
// refusal comes from its machine: no process is there.
func lossBy(err error) cell.Loss {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return cell.LossRefused
	}
	return cell.LossSilent
}
