// SPDX-License-Identifier: Apache-2.0

// Package hangup keeps SIGHUP from ending a process that does not handle it yet.
//
// All packages are initialised before main runs, which takes longer on a busy machine. This package
// imports only what it needs for signals, so that it is initialised before nearly all others. In
// builds with cgo the signal is ignored even before the Go runtime starts. Import the package from
// main for its side effect.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// SIGHUP ends a process that does not handle it. It must not do so while the settings are still being
// read, nor during a planned stop, when nothing receives the signal any more.
func init() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
