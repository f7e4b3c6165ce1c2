// SPDX-License-Identifier: Apache-2.0

//go:build cgo

package hangup

// The dynamic linker runs this constructor before the Go runtime starts. The runtime leaves a signal
// that it finds ignored as it is, until init calls signal.Notify.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
