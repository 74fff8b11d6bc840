#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when all are there.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy pkg-config curl
  librestinio-dev libasio-dev libhttp-parser-dev libfmt-dev libnng-dev prometheus-cpp-dev
  libcurl4-openssl-dev libcli11-dev libspdlog-dev libcriterion-dev nlohmann-json3-dev
  libmsgpack-cxx-dev libxxhash-dev libssl-dev zlib1g-dev)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${packages[@]}"
fi
