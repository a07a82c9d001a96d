#!/usr/bin/env bash
# Writes the generated code: protobuf and drpc by protoc, dependency injection by
# wire. With --check it fails if a generated file changes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc github.com/google/wire/cmd/wire

files() { git ls-files -co --exclude-standard -- '*.pb.go' '*wire_gen.go' | sort; }
sums() { files | xargs -r sha256sum; }

before=$(sums)
PATH="$PWD/bin:$PATH" protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. internal/peer/peerpb/peer.proto internal/relay/carrypb/carry.proto
if [ -f internal/daemon/wire.go ]; then
  bin/wire gen ./internal/daemon ./platform
fi
if [ "${1:-}" = --check ] && [ "$before" != "$(sums)" ]; then
  echo "generated code is out of date; run 'make gen' and commit the result" >&2
  exit 1
fi
