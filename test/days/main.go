// SPDX-License-Identifier: Apache-2.0

// Command days writes day files, the test scenarios of the users' load-test bench: a
// day for each disruption that the bench knows, at three times; days with pairs of
// disruptions drawn from a seed, each occurring several times and at any time of the
// day; and a few long days written by hand. The same seed gives the same days.
//
//	days -dir DIR [-pairs N] [-seed S]
//
// The bench runs each file as a separate day; the names are only labels.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

// disruption is a kind of failure or planned change with its parameters, in the bench's format.
type disruption struct {
	kind string
	// params are all fields but the kind and the time.
	params string
	// planned says that the disruption belongs to the day's planned work, not to its faults.
	planned bool
}

// disruptions are those that the bench lists, in the variants that make a difference to a
// scheduler.
var disruptions = []disruption{
	{kind: "burst", params: `x = 2.0, for_s = 4.0`},
	{kind: "shift", params: `share = 0.6, for_s = 5.0`},
	{kind: "give_up", params: `share = 0.4, x = 900.0, for_s = 5.0`},
	{kind: "srv_crash", params: `share = 0.1, for_s = 4.0, how = "dark"`},
	{kind: "srv_crash", params: `share = 0.08, for_s = 4.0, how = "gone"`},
	{kind: "srv_crash", params: `share = 0.1, for_s = 4.0, how = "rack"`},
	{kind: "srv_slow", params: `share = 0.15, x = 6.0, for_s = 5.0`},
	{kind: "srv_grey", params: `share = 0.08, x = 1.0, for_s = 5.0, how = "errors"`},
	{kind: "srv_grey", params: `share = 0.1, x = 1.0, for_s = 5.0, how = "hang"`},
	{kind: "srv_grey", params: `share = 0.1, x = 0.5, for_s = 5.0, how = "busy"`},
	{kind: "srv_grey", params: `share = 0.1, x = 0.5, for_s = 5.0, how = "reset"`},
	{kind: "srv_grey", params: `share = 0.1, x = 0.5, for_s = 5.0, how = "mute"`},
	{kind: "scale_in", params: `share = 0.05`, planned: true},
	{kind: "scale_in", params: `share = 0.05, how = "spot", x = 1.5`, planned: true},
	{kind: "answer_lost", params: `share = 0.5, x = 0.1, for_s = 5.0`},
	{kind: "applied_late", params: `x = 0.06, for_s = 5.0`},
	{kind: "node_kill", params: `share = 0.3`},
	{kind: "node_kill", params: `on = "core", count = 1, for_s = 3.0, how = "leader"`},
	{kind: "node_freeze", params: `on = "core", count = 1, for_s = 4.0, how = "leader"`},
	{kind: "node_freeze", params: `share = 0.3, for_s = 3.0`},
	{kind: "node_slow", params: `share = 0.3, x = 5.5, for_s = 5.0`},
	{kind: "roll_term", params: `share = 0.5, x = 1.0, gap_s = 1.3, how = "busy"`, planned: true},
	{kind: "herd_kill", params: `on = "core", share = 1.0, how = "power"`},
	{kind: "add_nodes", params: `share = 0.75`, planned: true},
	{kind: "replace_core", params: `how = "leader", x = 3.0`},
	{kind: "replace_core", params: `how = "planned", x = 1.0`},
	{kind: "after_ack_kill", params: `how = "taken", for_s = 2.0`},
	{kind: "after_ack_kill", params: `how = "timed", for_s = 2.0`},
	{kind: "hup", params: `share = 0.6, gap_s = 2.0`, planned: true},
	{kind: "zone_cut", params: `for_s = 5.5, how = "reset"`},
	{kind: "zone_cut", params: `for_s = 5.5, how = "drop meet"`},
	{kind: "core_cut", params: `count = 1, for_s = 5.0, how = "leader"`},
	{kind: "core_cut", params: `count = 2, for_s = 4.0, how = "one_way"`},
	{kind: "node_cut", params: `share = 0.2, for_s = 5.0`},
	{kind: "node_cut", params: `share = 0.2, for_s = 5.0, how = "all"`},
	{kind: "node_cut", params: `share = 0.17, for_s = 5.0, how = "servers one_way"`},
	{kind: "platform_down", params: `share = 0.35, for_s = 6.0, how = "nodes reset revoke meet"`},
	{kind: "platform_down", params: `count = 1, for_s = 6.0, how = "nodes leader silent"`},
	{kind: "platform_down", params: `for_s = 3.0, how = "silent lapse"`},
	{kind: "platform_down", params: `for_s = 3.0, how = "busy"`},
	{kind: "platform_slow", params: `x = 60.0, for_s = 4.5`},
	{kind: "platform_lost", params: `x = 0.35, for_s = 4.5, how = "late"`},
	{kind: "platform_compact", params: `x = 5.5, for_s = 6.0`},
	{kind: "config_change", params: `how = "timeout"`, planned: true},
	{kind: "config_change", params: `how = "route"`, planned: true},
	{kind: "poison", params: `share = 0.05, for_s = 3.0`},
	{kind: "srv_cut", params: `share = 0.2, for_s = 4.0`},
	{kind: "srv_cut", params: `share = 0.2, for_s = 4.0, how = "some"`},
	{kind: "srv_cut", params: `share = 0.2, for_s = 4.0, how = "fronts"`},
	{kind: "clock_step", params: `share = 0.4, x = 2000, for_s = 5.0, how = "ahead"`},
	{kind: "clock_step", params: `share = 0.4, x = 2000, for_s = 5.0, how = "back"`},
	{kind: "reset_conns", params: `share = 0.4, x = 0.5`},
	{kind: "cloud_down", params: `for_s = 5.0, how = "silent"`},
	{kind: "cloud_slow", params: `x = 50.0, for_s = 5.0`},
}

// soloStarts are the times at which the disruption of a solo day begins, in seconds of traffic.
var soloStarts = []float64{4, 14, 25}

const (
	// maxStart bounds the start times drawn from a seed: they are between 1 s and 1 s + maxStart.
	maxStart = 30.0
	// maxRepeats is the maximum number of occurrences of each disruption of a pair.
	maxRepeats = 3
	// siteDuration leaves the duration of a day to the site.
	siteDuration = 0.0
)

// entry is a disruption and the time at which it begins, in seconds.
type entry struct {
	disruption
	at float64
}

// formatDay returns the text of a day file. If durationS is 0, the day is as long as the site's
// other days.
func formatDay(name string, seed uint64, durationS float64, entries []entry) string {
	length := ""
	if durationS > 0 {
		length = fmt.Sprintf("length_s = %.1f\n", durationS)
	}
	var plan, faults bytes.Buffer
	fmt.Fprintf(&plan, "  { at = 6.5, kind = \"config_change\", how = \"timeout\" },\n")
	for _, e := range entries {
		section := &faults
		if e.planned {
			section = &plan
		}
		fmt.Fprintf(section, "  { at = %.2f, kind = %q, %s },\n", e.at, e.kind, e.params)
	}
	return fmt.Sprintf(`[[day]]
name = %q
slot = "trouble"
seed = %d
%sone = 1.0
zero = 0.0
goal = { floor = 0.0 }
labels = []
plan = [
%s]
faults = [
%s]
`, name, seed, length, plan.String(), faults.String())
}

// soloDay returns the name and the text of a day in which one disruption occurs at each of
// soloStarts. index is the number at the start of its name.
func soloDay(index int, d disruption) (string, string) {
	name := fmt.Sprintf("%02d-%s", index, strings.ReplaceAll(d.kind, "_", "-"))
	var entries []entry
	for _, start := range soloStarts {
		entries = append(entries, entry{d, start})
	}
	return name, formatDay(name, 4711, siteDuration, entries)
}

// pairDay returns the name and the text of a day with two disruptions, drawn from the seed.
func pairDay(seed uint64) (string, string) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var entries []entry
	for range 2 {
		d := disruptions[rng.IntN(len(disruptions))]
		for range 1 + rng.IntN(maxRepeats) {
			entries = append(entries, entry{d, 1 + rng.Float64()*maxStart})
		}
	}
	name := fmt.Sprintf("pair-%d", seed)
	return name, formatDay(name, seed, siteDuration, entries)
}

func main() {
	dir := flag.String("dir", "", "directory to write the day files to")
	pairs := flag.Int("pairs", 0, "number of days with a pair of disruptions")
	seed := flag.Uint64("seed", 1, "seed of the first pair; each further one adds 1")
	flag.Parse()
	if err := write(*dir, *pairs, *seed); err != nil {
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(1)
	}
}

// write writes all days into a directory.
func write(dir string, pairs int, seed uint64) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i, d := range disruptions {
		if err := fileWriter(dir)(soloDay(i, d)); err != nil {
			return err
		}
	}
	for _, d := range longDays() {
		if err := fileWriter(dir)(d.render()); err != nil {
			return err
		}
	}
	for i := range pairs {
		if err := fileWriter(dir)(pairDay(seed + uint64(i))); err != nil {
			return err
		}
	}
	return nil
}

// fileWriter returns a function that writes a day file into dir.
func fileWriter(dir string) func(name, text string) error {
	return func(name, text string) error {
		return os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o644)
	}
}
