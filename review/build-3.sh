#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 that have a script, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/1[1-5]; do
  if [ -f "$case/main.go" ]; then
    go build -o "target/review-${case##*/}" "./$case"
  fi
done
