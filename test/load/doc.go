// SPDX-License-Identifier: Apache-2.0

// Package load sends calls and jobs to a bed and checks the answers: every answer
// must be complete and belong to its own request.
package load
