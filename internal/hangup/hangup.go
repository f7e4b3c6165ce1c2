// SPDX-License-Identifier: Apache-2.0

// Package hangup keeps SIGHUP from ending a process that has not come as far as catching it.
//
// All packages are initialised before main runs, which takes a while, and longer on a busy machine.
// This one needs nothing but signals, so that it comes before nearly all others. Where there is a C
// compiler the signal is ignored from before the runtime begins. Import it for its effect from main.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// A hangup ends a process that catches none. One that comes while the settings are still being
// read, or during a planned stop, when nobody waits for it any more, must not.
func init() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
