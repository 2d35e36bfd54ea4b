#!/usr/bin/env bash
# Regenerates the committed gRPC and protobuf code from Source/rpc/peer.proto.
# Needs the Debian packages protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/../Source/rpc"
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
