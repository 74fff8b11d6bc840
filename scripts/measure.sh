#!/usr/bin/env bash
# Builds and runs the measurements; prints one JSON object per line.
# Usage: scripts/measure.sh [daemon|steady|overload|faults|interactive|scale|cancel|all] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
tests=${BUILD_DIR:-build}/tests
case ${1:-all} in
  daemon) exec "$tests/measure-daemon" ;;
  all) "$tests/measure-policy" all "${2:-1}"; exec "$tests/measure-daemon" ;;
  *) exec "$tests/measure-policy" "$1" "${2:-1}" ;;
esac
