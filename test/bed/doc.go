// SPDX-License-Identifier: Apache-2.0

// Package bed starts a whole deployment on one machine for the demo and the
// end-to-end tests: one stand-in process with the test doubles of the platform,
// its workers and its load balancer, and a process for each entry instance. It
// can kill, freeze, stop and restart each process, and kills all of them at the
// end.
package bed
