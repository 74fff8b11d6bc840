#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -DMSGPACK_NO_BOOST -DASIO_STANDALONE '-DMASTICDRIFT_VERSION="0"' -Iinclude -I. -Itests)
libraries=(target/libmasticdrift.a $(pkg-config --libs libcurl libcrypto libxxhash) -lnng -lprometheus-cpp-core
  -lspdlog -lfmt -lhttp_parser -lpthread)
g++ "${flags[@]}" tests/standins/StandinPlatform.cpp tests/standins/common/*.cpp "${libraries[@]}" \
  -o review/bin/standin-platform &
platform=$!
g++ "${flags[@]}" review/Standin.cpp tests/standins/common/*.cpp "${libraries[@]}" -o review/bin/standin-trial
wait "$platform"
