#!/usr/bin/env bash
# Builds and runs the measurements of package policy; prints one JSON object per line.
# Usage: scripts/measure.sh [steady|overload|faults|interactive|scale|cancel|all] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
exec "${BUILD_DIR:-build}/tests/measure-policy" "${1:-all}" "${2:-1}"
