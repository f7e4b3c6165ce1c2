// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"strings"
	"testing"
)

func TestDaysRepeat(t *testing.T) {
	dir := t.TempDir()
	if err := write(dir, 3, 7); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	want := len(known) + len(longDays()) + 3
	if err != nil || len(files) != want {
		t.Fatalf("%d files, %v; want %d", len(files), err, want)
	}
	_, first := pair(7)
	if _, again := pair(7); again != first {
		t.Error("the same seed drew another day")
	}
	if _, other := pair(8); strings.Count(other, "kind =") < 3 {
		t.Errorf("a pair holds a change of the configuration and two disruptions:\n%s", other)
	}
}

func TestLongDays(t *testing.T) {
	for _, d := range longDays() {
		name, text := d.text()
		if !strings.Contains(text, "length_s = ") {
			t.Errorf("%s is no longer than the site's days", name)
		}
	}
	if restartsS <= 120 {
		t.Errorf("a day of %v s ends before the first jobs are kept no longer", restartsS)
	}
	_, grow := growingConfig().text()
	big, small := strings.Index(grow, "big_config"), strings.Index(grow, "idle")
	if strings.Count(grow, "big_config") != len(growthAt) || strings.Count(grow, "idle") != len(growthAt) || small < big {
		t.Errorf("each growth is followed by a small change:\n%s", grow)
	}
}
