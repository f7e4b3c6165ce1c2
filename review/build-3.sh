#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds what the scripts of the third review start, beside what the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-3 ./review/10/testdata/cases
go test -c -o target/review-3-halls ./review/9/testdata/halls
