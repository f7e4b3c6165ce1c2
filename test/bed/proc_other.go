// SPDX-License-Identifier: Apache-2.0

//go:build !linux

package bed

import "syscall"

func dieWithParent() *syscall.SysProcAttr { return nil }

func usage(int) Usage { return Usage{} }
