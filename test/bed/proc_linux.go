// SPDX-License-Identifier: Apache-2.0

package bed

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// dieWithParent returns attributes with which the kernel kills a process when the
// thread that started it ends, for whatever reason.
func dieWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// clockTick is the unit of the times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// ioBytes returns the number of bytes that a process has read and written,
// including sockets.
func ioBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	var sum int64
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) == 2 && (f[0] == "rchar:" || f[0] == "wchar:") {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			sum += n
		}
	}
	return sum
}

// usage reads the resource usage of a process from /proc; see proc(5).
func usage(pid int) Usage {
	var u Usage
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		if len(fields) > 12 {
			user, _ := strconv.ParseInt(fields[11], 10, 64)
			system, _ := strconv.ParseInt(fields[12], 10, 64)
			u.CPU = time.Duration(user+system) * clockTick
		}
	}
	u.Bytes = ioBytes(pid)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u
	}
	for line := range strings.Lines(string(status)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			u.ResidentKiB = n
		case "VmHWM:":
			u.PeakResidentKiB = n
		case "RssAnon:":
			u.AnonymousKiB = n
		}
	}
	return u
}
