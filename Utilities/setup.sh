#!/usr/bin/env bash
# Installs the Debian 12 packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config ccache clang-format clang-tidy
  libcpp-httplib-dev libgflags-dev libspdlog-dev libabsl-dev catch2
  libgrpc++-dev libgrpc-dev libprotobuf-dev protobuf-compiler
  protobuf-compiler-grpc libinih-dev libxxhash-dev libssl-dev zlib1g-dev
  libbrotli-dev nlohmann-json3-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y \
  --no-install-recommends "${missing[@]}"
