#!/bin/bash
# Builds what the scripts of the second review start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/rig
