#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins that the scripts of the review start. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-bed ./review/1/testdata/bed
