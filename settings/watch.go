// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"context"
	"os"
	"time"
)

// pollInterval is the interval between checks of a file, which may change without a
// signal.
const pollInterval = 2 * time.Second

// Watch calls onChange with the new settings whenever the settings file has changed.
// If the file cannot be loaded, it calls onError with the error instead, and the
// caller keeps the previous settings. Watch polls the file, and reloads it
// unconditionally on each signal from reload. It returns when ctx ends.
func Watch(ctx context.Context, path string, reload <-chan os.Signal, onChange func(*Settings), onError func(error)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	last := fileVersionOf(path)
	for {
		forced := false
		select {
		case <-reload:
			forced = true
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := fileVersionOf(path)
		if now == last && !forced {
			continue
		}
		last = now
		s, err := Load(path)
		if err != nil {
			onError(err)
			continue
		}
		onChange(s)
	}
}

// fileVersion distinguishes versions of a file by size and modification time.
type fileVersion struct {
	size int64
	time time.Time
}

func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{size: info.Size(), time: info.ModTime()}
}
