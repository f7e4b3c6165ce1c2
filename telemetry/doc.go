// SPDX-License-Identifier: Apache-2.0

// Package telemetry makes what an instance is watched by: structured logs as
// JSON lines, metrics by tally, and OpenTelemetry traces with a span for each
// hop. A Kit is passed to whoever needs it; there is nothing global.
package telemetry
