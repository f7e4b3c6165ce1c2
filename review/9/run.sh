#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/target/dewpass" ] && [ -x "$root/target/cases3b" ] || exit 2
cd "$root" || exit 2
CASE=cut DEWPASS="$root/target/dewpass" RECORD="$here/record.txt" exec target/cases3b -test.run '^TestCase$'
