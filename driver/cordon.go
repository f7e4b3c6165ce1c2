// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
)

// Cordons lists the data halls that operators have cordoned: nothing more is started on their workers,
// while what runs there goes on.
type Cordons interface {
	Halls(ctx context.Context) ([]string, error)
}

// cordonInterval is the interval between reads of the cordoned halls.
const cordonInterval = time.Second

// readCordons reads the cordoned halls. If they cannot be read, those read last stay cordoned.
func (d *Driver) readCordons(ctx context.Context) error {
	if d.Cordons == nil {
		return nil
	}
	halls, err := d.Cordons.Halls(ctx)
	if err != nil {
		return err
	}
	slices.Sort(halls)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(halls, d.cordoned) {
		level.Info(d.Log).Log("event", "halls_cordoned", "cell", d.Name, "halls", strings.Join(halls, " "))
		d.cordoned = halls
		notify(d.placeNow)
	}
	return nil
}

// watchCordons keeps the cordoned halls up to date.
func (d *Driver) watchCordons() {
	for d.ctx.Err() == nil {
		d.sleep(cordonInterval)
		if err := d.readCordons(d.ctx); err != nil && d.ctx.Err() == nil {
			level.Info(d.Log).Log("event", "cordons_not_read", "cell", d.Name, "err", err)
		}
	}
}
