#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs simulated days of the users' benchmark: the standard days, those that test/days
# writes (PAIRS of them drawn at random from SEED), and random days of the benchmark itself
# (DAYS for each site). Needs the benchmark program (FLEETBENCH) and site files (SITES);
# without them it prints a message and exits with status 0. Prints one line per day and the
# number of days in which a rule was broken or an instance exited; fails if there are any.
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
