// SPDX-License-Identifier: Apache-2.0

// Package bed starts a whole deployment on one machine for the demo and the
// proofs: the stand-in of the platform with its workers and balancer as one
// process, and the entry instances as processes of their own. It can kill,
// freeze, stop and restart each, and it ends all that it started.
package bed
