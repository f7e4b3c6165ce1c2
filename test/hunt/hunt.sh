#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays days of the users' bench: the standard days, those that test/days writes
# (PAIRS of them drawn by SEED), and days drawn by it. Needs the bench (FLEETBENCH) and site files (SITES); it says so and
# ends well where they are not there. Prints one line a day, and what was broken.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ -z "${FLEETBENCH:-}" ] || [ ! -x "$FLEETBENCH" ] || [ -z "${SITES:-}" ]; then
  echo "hunt: the users' bench is not here; nothing was played (set FLEETBENCH and SITES)"
  exit 0
fi
days=$(mktemp -d)
trap "rm -rf \"$days\"" EXIT
go run ./test/days -dir "$days" -pairs "${PAIRS:-20}" -seed "${SEED:-1}"
broken=0
for site in $SITES; do
  echo "== $(basename "$site" .toml)"
  {
    "$FLEETBENCH" score "$site" --why "make hunt"
    for day in "$days"/*.toml; do "$FLEETBENCH" run "$site" "$day"; done
    "$FLEETBENCH" hunt "$site" --days "${DAYS:-40}"
  } 2>&1 | grep -E ' [0-9]+/[0-9]+ +[0-9-]' | cut -c1-160 | tee "/tmp/hunt.$$"
  broken=$((broken + $(grep -cE 'BROKEN|exits' "/tmp/hunt.$$")))
done
rm -f "/tmp/hunt.$$"
echo "days with a broken rule or an instance that ended by itself: $broken"
[ "$broken" -eq 0 ]
