#!/usr/bin/env bash
# Makes src/generated/ again from proto/. Needed only after a change in proto/: the build uses what is committed.
# Needs the packages protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=src/generated --grpc_out=src/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
rm -f src/generated/{request,heartbeat}.grpc.pb.* # They define no service.
