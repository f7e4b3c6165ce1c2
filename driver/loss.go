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

// dropLink ends a link and removes its worker from the cell. The lock is held.
func (d *Driver) dropLink(l *link, how cell.Loss, now time.Time) {
	d.cell.Forget(l.id, how, now)
	d.noteLost(l)
	l.cancel()
	delete(d.links, l.id)
	d.workerListChanged = true
	notify(d.placeNow)
}

// workerDead handles the certain end of a worker's incarnation.
func (d *Driver) workerDead(id string, how cell.Loss) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[id]; l != nil {
		d.dropDeadWorker(l, how)
	}
}

// dropDeadWorker ends the link to a worker whose incarnation has certainly ended. The lock is held.
func (d *Driver) dropDeadWorker(l *link, how cell.Loss) {
	level.Info(d.Log).Log("event", "worker_dead", "worker", l.id, "why", string(how), "observed", l.lastObserved, "last_end", l.lastEnd)
	d.dropLink(l, how, clock.Now())
}

// closedByPeer reports whether a call failed because the other side closed or refused the
// connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
}

// lossCause returns the cause of loss, by the error of the last hold, of a worker whose leases have
// expired. A refused connection comes from the worker's machine: no process listens there.
func lossCause(err error) cell.Loss {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return cell.LossRefused
	}
	return cell.LossSilent
}
