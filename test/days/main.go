// SPDX-License-Identifier: Apache-2.0

// Command days writes day files for the users' bench: one for each disruption
// that it knows, alone at three moments, pairs that a seed draws, each of the two
// several times and anywhere in the day, and a few long days written by hand. The
// same seed draws the same days.
//
//	days -dir DIR [-pairs N] [-seed S]
//
// The bench reads a file as a day of its own; names are labels only.
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

// disruption is a kind of trouble with what it takes, as the bench writes it.
type disruption struct {
	kind string
	// with holds the other fields but the moment.
	with string
	// planned says that it stands among planned work.
	planned bool
}

// known are the disruptions that the bench lists, in the variants that differ for
// a scheduler.
var known = []disruption{
	{kind: "burst", with: `x = 2.0, for_s = 4.0`},
	{kind: "shift", with: `share = 0.6, for_s = 5.0`},
	{kind: "give_up", with: `share = 0.4, x = 900.0, for_s = 5.0`},
	{kind: "srv_crash", with: `share = 0.1, for_s = 4.0, how = "dark"`},
	{kind: "srv_crash", with: `share = 0.08, for_s = 4.0, how = "gone"`},
	{kind: "srv_crash", with: `share = 0.1, for_s = 4.0, how = "rack"`},
	{kind: "srv_slow", with: `share = 0.15, x = 6.0, for_s = 5.0`},
	{kind: "srv_grey", with: `share = 0.08, x = 1.0, for_s = 5.0, how = "errors"`},
	{kind: "srv_grey", with: `share = 0.1, x = 1.0, for_s = 5.0, how = "hang"`},
	{kind: "srv_grey", with: `share = 0.1, x = 0.5, for_s = 5.0, how = "busy"`},
	{kind: "srv_grey", with: `share = 0.1, x = 0.5, for_s = 5.0, how = "reset"`},
	{kind: "srv_grey", with: `share = 0.1, x = 0.5, for_s = 5.0, how = "mute"`},
	{kind: "scale_in", with: `share = 0.05`, planned: true},
	{kind: "scale_in", with: `share = 0.05, how = "spot", x = 1.5`, planned: true},
	{kind: "answer_lost", with: `share = 0.5, x = 0.1, for_s = 5.0`},
	{kind: "applied_late", with: `x = 0.06, for_s = 5.0`},
	{kind: "node_kill", with: `share = 0.3`},
	{kind: "node_kill", with: `on = "core", count = 1, for_s = 3.0, how = "leader"`},
	{kind: "node_freeze", with: `on = "core", count = 1, for_s = 4.0, how = "leader"`},
	{kind: "node_freeze", with: `share = 0.3, for_s = 3.0`},
	{kind: "node_slow", with: `share = 0.3, x = 5.5, for_s = 5.0`},
	{kind: "roll_term", with: `share = 0.5, x = 1.0, gap_s = 1.3, how = "busy"`, planned: true},
	{kind: "herd_kill", with: `on = "core", share = 1.0, how = "power"`},
	{kind: "add_nodes", with: `share = 0.75`, planned: true},
	{kind: "replace_core", with: `how = "leader", x = 3.0`},
	{kind: "replace_core", with: `how = "planned", x = 1.0`},
	{kind: "after_ack_kill", with: `how = "taken", for_s = 2.0`},
	{kind: "after_ack_kill", with: `how = "timed", for_s = 2.0`},
	{kind: "hup", with: `share = 0.6, gap_s = 2.0`, planned: true},
	{kind: "zone_cut", with: `for_s = 5.5, how = "reset"`},
	{kind: "zone_cut", with: `for_s = 5.5, how = "drop meet"`},
	{kind: "core_cut", with: `count = 1, for_s = 5.0, how = "leader"`},
	{kind: "core_cut", with: `count = 2, for_s = 4.0, how = "one_way"`},
	{kind: "node_cut", with: `share = 0.2, for_s = 5.0`},
	{kind: "node_cut", with: `share = 0.2, for_s = 5.0, how = "all"`},
	{kind: "node_cut", with: `share = 0.17, for_s = 5.0, how = "servers one_way"`},
	{kind: "platform_down", with: `share = 0.35, for_s = 6.0, how = "nodes reset revoke meet"`},
	{kind: "platform_down", with: `count = 1, for_s = 6.0, how = "nodes leader silent"`},
	{kind: "platform_down", with: `for_s = 3.0, how = "silent lapse"`},
	{kind: "platform_down", with: `for_s = 3.0, how = "busy"`},
	{kind: "platform_slow", with: `x = 60.0, for_s = 4.5`},
	{kind: "platform_lost", with: `x = 0.35, for_s = 4.5, how = "late"`},
	{kind: "platform_compact", with: `x = 5.5, for_s = 6.0`},
	{kind: "config_change", with: `how = "timeout"`, planned: true},
	{kind: "config_change", with: `how = "route"`, planned: true},
	{kind: "poison", with: `share = 0.05, for_s = 3.0`},
	{kind: "srv_cut", with: `share = 0.2, for_s = 4.0`},
	{kind: "srv_cut", with: `share = 0.2, for_s = 4.0, how = "some"`},
	{kind: "srv_cut", with: `share = 0.2, for_s = 4.0, how = "fronts"`},
	{kind: "clock_step", with: `share = 0.4, x = 2000, for_s = 5.0, how = "ahead"`},
	{kind: "clock_step", with: `share = 0.4, x = 2000, for_s = 5.0, how = "back"`},
	{kind: "reset_conns", with: `share = 0.4, x = 0.5`},
	{kind: "cloud_down", with: `for_s = 5.0, how = "silent"`},
	{kind: "cloud_slow", with: `x = 50.0, for_s = 5.0`},
}

// moments are when a disruption that comes alone begins, in seconds of traffic.
var moments = []float64{4, 14, 25}

const (
	// lastMoment is the latest beginning that a seed draws, in seconds.
	lastMoment = 30.0
	// timesMost is how often one of a pair comes at most.
	timesMost = 3
	// siteLength leaves the length of a day to the site.
	siteLength = 0.0
)

// entry is a disruption at a moment.
type entry struct {
	disruption
	at float64
}

// day returns the text of a day. It is as long as the site's days if lengthS is 0.
func day(name string, seed uint64, lengthS float64, entries []entry) string {
	length := ""
	if lengthS > 0 {
		length = fmt.Sprintf("length_s = %.1f\n", lengthS)
	}
	var plan, faults bytes.Buffer
	fmt.Fprintf(&plan, "  { at = 6.5, kind = \"config_change\", how = \"timeout\" },\n")
	for _, e := range entries {
		to := &faults
		if e.planned {
			to = &plan
		}
		fmt.Fprintf(to, "  { at = %.2f, kind = %q, %s },\n", e.at, e.kind, e.with)
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

// alone returns a day with one disruption at each of the moments.
func alone(at int, d disruption) (string, string) {
	name := fmt.Sprintf("%02d-%s", at, strings.ReplaceAll(d.kind, "_", "-"))
	var entries []entry
	for _, m := range moments {
		entries = append(entries, entry{d, m})
	}
	return name, day(name, 4711, siteLength, entries)
}

// pair returns a day with two disruptions, drawn by the seed.
func pair(seed uint64) (string, string) {
	draw := rand.New(rand.NewPCG(seed, 0))
	var entries []entry
	for range 2 {
		d := known[draw.IntN(len(known))]
		for range 1 + draw.IntN(timesMost) {
			entries = append(entries, entry{d, 1 + draw.Float64()*lastMoment})
		}
	}
	name := fmt.Sprintf("pair-%d", seed)
	return name, day(name, seed, siteLength, entries)
}

func main() {
	dir := flag.String("dir", "", "where to write the day files")
	pairs := flag.Int("pairs", 0, "how many pairs to draw")
	seed := flag.Uint64("seed", 1, "the seed of the first pair")
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
	for i, d := range known {
		if err := put(dir)(alone(i, d)); err != nil {
			return err
		}
	}
	for _, d := range longDays() {
		if err := put(dir)(d.text()); err != nil {
			return err
		}
	}
	for i := range pairs {
		if err := put(dir)(pair(seed + uint64(i))); err != nil {
			return err
		}
	}
	return nil
}

func put(dir string) func(name, text string) error {
	return func(name, text string) error {
		return os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o644)
	}
}
