#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
cd "$root" || exit 2
for program in target/dewpass target/review-3-halls; do
  if [ ! -x "$program" ]; then
    echo "$program is not built: run the build line of deploy/system.toml and review/build-3.sh" >&2
    exit 2
  fi
done
export CASE=cut TROUBLE="${TROUBLE:-1}" DEWPASS="$root/target/dewpass" RECORD="${RECORD:-$here/record.txt}"
exec target/review-3-halls -test.run '^TestCase$'
