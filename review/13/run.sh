#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
exec "$(dirname "$0")/../run-3.sh" "$(dirname "$0")" TestTwoCrashes
