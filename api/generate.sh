#!/usr/bin/env bash
# Regenerates the Go and twirp code of every schema below api/ with the
# generators that the modules under tools/ pin.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" tool)
(cd tools/schema && GOWORK=off go build -o "$bin/" github.com/bufbuild/buf/cmd/buf)
PATH="$bin:$PATH" "$bin/buf" generate
gofmt -w api
