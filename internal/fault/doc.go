// SPDX-License-Identifier: Apache-2.0

// Package fault names the points at which tests bring failures about.
//
// In the shipped binary At and Link are empty functions that the compiler
// removes. A binary built with the tag "faults" looks a table up at each: a
// point may hold the step up, end the process, or fail; a link may be cut, slow,
// or lose what comes back; the clock may run fast or slow. Tests change the
// table over HTTP; see Handler.
package fault
