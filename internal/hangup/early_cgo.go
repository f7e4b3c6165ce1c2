// SPDX-License-Identifier: Apache-2.0

//go:build cgo

package hangup

// The dynamic linker runs this before the runtime begins. The runtime leaves a signal ignored that
// it finds so, until init asks for it.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
