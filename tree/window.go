// SPDX-License-Identifier: Apache-2.0

package tree

import (
	"encoding/json"
	"strings"
	"time"
	_ "time/tzdata" // Entry instances have no file system with time zone data.

	"github.com/go-faster/errors"
)

// Window is the part of the day in which a workload may start, in the
// operator's time zone. A window whose end is before its start extends past
// midnight.
type Window struct {
	from, to time.Duration
	zone     *time.Location
	days     [7]bool
}

var dayNames = [7]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func parseWindow(raw json.RawMessage) (*Window, error) {
	var in struct {
		From string   `json:"from"`
		To   string   `json:"to"`
		Zone string   `json:"zone"`
		Days []string `json:"days"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	zone, err := time.LoadLocation(in.Zone)
	if err != nil {
		return nil, errors.Wrapf(err, "zone %q", in.Zone)
	}
	w := &Window{from: parseTimeOfDay(in.From), to: parseTimeOfDay(in.To), zone: zone}
	if w.from == w.to {
		return nil, errors.New("from and to are the same")
	}
	for d, name := range dayNames {
		w.days[d] = len(in.Days) == 0 || strings.Contains(strings.Join(in.Days, " "), name)
	}
	return w, nil
}

func parseTimeOfDay(s string) time.Duration {
	t, err := time.Parse("15:04", s)
	if err != nil {
		return 0
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

// Next returns the window that contains now, or else the next one. The times
// are wall-clock times, also on days with a change to or from daylight saving
// time.
func (w *Window) Next(now time.Time) (from, to time.Time) {
	local := now.In(w.zone)
	// A window that started yesterday may still be open.
	for day := -1; day <= 7; day++ {
		from = w.timeOn(local, day, w.from)
		to = w.timeOn(local, day, w.to)
		if w.to < w.from {
			to = w.timeOn(local, day+1, w.to)
		}
		if w.days[from.Weekday()] && now.Before(to) {
			return from, to
		}
	}
	return from, to
}

func (w *Window) timeOn(t time.Time, day int, clock time.Duration) time.Time {
	hour, minute := int(clock/time.Hour), int(clock%time.Hour/time.Minute)
	return time.Date(t.Year(), t.Month(), t.Day()+day, hour, minute, 0, 0, w.zone)
}
