// SPDX-License-Identifier: Apache-2.0

// Package proof holds the proofs of what must always hold. Each starts a whole
// deployment as separate processes, brings a failure about, and is judged from
// the workers' own record and the table's rows. docs/PROOFS.md lists them.
package proof
