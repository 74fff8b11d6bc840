#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/10 start, after the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -DMSGPACK_NO_BOOST -DASIO_STANDALONE -DMASTICDRIFT_VERSION='"0"' -Iinclude -I. -Itests \
  review/cases/Standin.cpp review/StandinPlatform.cpp tests/standins/common/HttpStub.cpp tests/standins/common/Program.cpp \
  target/libmasticdrift.a $(pkg-config --libs libcurl libcrypto libxxhash) -lnng -lprometheus-cpp-core -lspdlog -lfmt \
  -lhttp_parser -lpthread -o target/review-2/standin-cases
