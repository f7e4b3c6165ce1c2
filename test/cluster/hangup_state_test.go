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

// hangup is what the kernel says of a process and SIGHUP.
type hangup struct {
	// guarded says that the process catches or ignores the signal. Before its first
	// instructions it cannot, whatever it is: the signal ends it.
	guarded bool
	// over says that the process has ended.
	over bool
}

// hangupOf reads the state of a process.
func hangupOf(pid int) hangup {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return hangup{over: true}
	}
	var h hangup
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		value = strings.TrimSpace(value)
		switch name {
		case "State":
			h.over = strings.HasPrefix(value, "Z") || strings.HasPrefix(value, "X")
		case "SigIgn", "SigCgt":
			mask, _ := strconv.ParseUint(value, 16, 64)
			h.guarded = h.guarded || mask&(1<<(syscall.SIGHUP-1)) != 0
		}
	}
	return h
}

// hangUp sends SIGHUP and returns the state of the process just before. Where that could do nothing
// against the signal yet, it waits until the process has ended or can.
func (e *entry) hangUp() hangup {
	pid := e.cmd.Process.Pid
	before := hangupOf(pid)
	e.signal(syscall.SIGHUP)
	for now := before; !now.guarded && !now.over; now = hangupOf(pid) {
		time.Sleep(time.Millisecond)
	}
	return before
}
