#!/usr/bin/env bash
# Builds the stand-in of the cases into review/bin, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
# shellcheck disable=SC2046
g++ -std=c++20 -O1 -DMSGPACK_NO_BOOST -DASIO_STANDALONE '-DMASTICDRIFT_VERSION="0"' -Iinclude -I. -Itests \
  review/Standin.cpp tests/standins/common/*.cpp target/libmasticdrift.a \
  $(pkg-config --libs libcurl libcrypto libxxhash) -lnng -lprometheus-cpp-core -lspdlog -lfmt -lhttp_parser -lpthread \
  -o review/bin/standin-trial
