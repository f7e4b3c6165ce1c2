// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// sighupState is the state of a process with regard to SIGHUP, as the kernel reports it.
type sighupState struct {
	// handled is true if the process catches or ignores the signal. Before its first
	// instructions no process can do so, and the signal ends it.
	handled bool
	// exited is true if the process has ended.
	exited bool
}

// readSIGHUPState reads the state of a process from /proc.
func readSIGHUPState(pid int) sighupState {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return sighupState{exited: true}
	}
	var h sighupState
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		value = strings.TrimSpace(value)
		switch name {
		case "State":
			h.exited = strings.HasPrefix(value, "Z") || strings.HasPrefix(value, "X")
		case "SigIgn", "SigCgt":
			mask, _ := strconv.ParseUint(value, 16, 64)
			h.handled = h.handled || mask&(1<<(syscall.SIGHUP-1)) != 0
		}
	}
	return h
}

// sendSIGHUP sends SIGHUP and returns the state of the process just before. If the process did
// not handle the signal yet, it waits until the process handles it or has ended.
func (e *instance) sendSIGHUP() sighupState {
	pid := e.cmd.Process.Pid
	before := readSIGHUPState(pid)
	e.signal(syscall.SIGHUP)
	for now := before; !now.handled && !now.exited; now = readSIGHUPState(pid) {
		time.Sleep(time.Millisecond)
	}
	return before
}
