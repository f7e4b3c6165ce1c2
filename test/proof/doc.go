// SPDX-License-Identifier: Apache-2.0

// Package proof holds the end-to-end tests of the rules that must always hold. Each
// starts a whole deployment as separate processes, injects a failure, and judges the
// outcome from the workers' own record and the rows of the table. docs/PROOFS.md
// lists them.
package proof
