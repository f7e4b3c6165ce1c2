#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins that the scripts of the second review start. The build of deploy/system.toml comes
# first.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-2 ./review/4/testdata/rig
