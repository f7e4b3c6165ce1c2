// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"math"

	"github.com/go-kit/log/level"
)

// logSpeeds logs the workers that have begun or ceased to count as slow or fast, with what supports
// it. The lock is held.
func (d *Driver) logSpeeds() {
	for _, c := range d.cell.SpeedChanges() {
		level.Debug(d.Log).Log("event", "worker_speed", "worker", c.Worker, "class", c.Class.String(), "speed_percent", percent(c.Speed),
			"deviation_percent", percent(c.Deviation), "runs", c.Runs, "weight_percent", percent(c.Weight))
	}
}

func percent(v float64) int { return int(math.Round(v * 100)) }
