#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/. Needs no network
# once the modules of the project are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/*/main.go; do
  n=$(basename "$(dirname "$main")")
  case $n in
    6 | 7 | 8 | 9 | 10) go build -o "target/review-2/$n" "./review/$n" ;;
  esac
done
