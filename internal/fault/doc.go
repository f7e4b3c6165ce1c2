// SPDX-License-Identifier: Apache-2.0

// Package fault defines the points at which tests inject failures.
//
// In the released binary At, AtTask, Link and Reply are empty functions that the compiler
// inlines away. A binary built with the tag "faults" looks up each call in a table of rules:
// a rule on a point delays the step, stops or ends the process; a rule on a link delays it,
// cuts it or drops the replies; and the clock can run at another rate. Tests set the rules
// over HTTP; see Handler.
package fault
