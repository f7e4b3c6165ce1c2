// SPDX-License-Identifier: Apache-2.0

// Package body reads the bodies of HTTP messages whole.
//
// Most bodies say how long they are, and are then read into memory of just that
// size; io.ReadAll grows a buffer step by step instead, which was a tenth of all
// memory that a call took.
package body
