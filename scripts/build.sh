#!/usr/bin/env bash
# Configures and builds into ${BUILD_DIR:-build}.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "${BUILD_DIR:-build}" -G Ninja >/dev/null
cmake --build "${BUILD_DIR:-build}" -j "${JOBS:-$(nproc)}"
