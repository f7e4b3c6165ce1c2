// SPDX-License-Identifier: Apache-2.0

// Package load sends work to a bed and checks what comes back: every answer
// must be whole and belong to its own request.
package load
