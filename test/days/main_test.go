// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"strings"
	"testing"
)

func TestSameSeedGivesSameDays(t *testing.T) {
	dir := t.TempDir()
	if err := write(dir, 3, 7); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	want := len(disruptions) + len(longDays()) + 3
	if err != nil || len(files) != want {
		t.Fatalf("%d files, %v; want %d", len(files), err, want)
	}
	_, first := pairDay(7)
	if _, again := pairDay(7); again != first {
		t.Error("the same seed gave another day")
	}
	if _, other := pairDay(8); strings.Count(other, "kind =") < 3 {
		t.Errorf("want a configuration change and at least two disruptions in a pair:\n%s", other)
	}
}

func TestLongDays(t *testing.T) {
	for _, d := range longDays() {
		name, text := d.render()
		if !strings.Contains(text, "length_s = ") {
			t.Errorf("%s does not set its duration", name)
		}
	}
	if longRestartsDurationS <= 120 {
		t.Errorf("a day of %v s ends before the retention time of its first jobs", longRestartsDurationS)
	}
	_, grow := growingConfig().render()
	big, small := strings.Index(grow, "big_config"), strings.Index(grow, "idle")
	if strings.Count(grow, "big_config") != len(growthStarts) || strings.Count(grow, "idle") != len(growthStarts) || small < big {
		t.Errorf("want a small change after each growth of the configuration:\n%s", grow)
	}
}
