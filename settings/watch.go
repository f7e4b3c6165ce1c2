// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"context"
	"os"
	"time"
)

// watchEvery spaces the looks at a file that may change without a signal.
const watchEvery = 2 * time.Second

// Watch calls changed with the settings of a file whenever the file has
// changed, and failed with what is wrong with it if it cannot be taken; the
// settings of before hold on then. It looks at the file again and again, and at
// once when told to through again. It returns when ctx ends.
func Watch(ctx context.Context, path string, again <-chan os.Signal, changed func(*Settings), failed func(error)) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	last := stampOf(path)
	for {
		told := false
		select {
		case <-again:
			told = true
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := stampOf(path)
		if now == last && !told {
			continue
		}
		last = now
		s, err := Load(path)
		if err != nil {
			failed(err)
			continue
		}
		changed(s)
	}
}

// stamp tells one content of a file from another.
type stamp struct {
	size int64
	time time.Time
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{size: info.Size(), time: info.ModTime()}
}
