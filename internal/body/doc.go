// SPDX-License-Identifier: Apache-2.0

// Package body reads the whole bodies of HTTP messages.
//
// Most messages state their length, and their bodies are read into a buffer of that
// size. io.ReadAll would grow its buffer step by step instead, which accounted for a
// tenth of all memory that a call allocated.
package body
