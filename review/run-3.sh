#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs a scripted case of the third review: run-3.sh FOLDER TEST. The record goes to FOLDER/record.txt.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
set -uo pipefail
folder="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root" || exit 2
for program in target/dewpass target/review-3; do
  if [ ! -x "$program" ]; then
    echo "$program is not built: run the build line of deploy/system.toml and review/build-3.sh" >&2
    exit 2
  fi
done
TMPDIR="$(mktemp -d)" || exit 2
trap 'rm -rf "$TMPDIR"' EXIT
export TMPDIR DEWPASS="$root/target/dewpass" RECORD="$folder/record.txt" TROUBLE="${TROUBLE:-1}"
target/review-3 -test.run "^$2\$" -test.timeout 115s
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
