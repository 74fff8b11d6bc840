#!/usr/bin/env bash
# Builds and runs the measurements; prints one JSON object per line.
# Usage: scripts/measure.sh [daemon|slopes|steady|overload|faults|interactive|scale|cancel|lead|all] [SEED]
# "slopes" repeats the cost at rest with more workers and running tasks in each domain.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
tests=${BUILD_DIR:-build}/tests
case ${1:-all} in
  daemon) exec "$tests/measure-daemon" ;;
  slopes)
    for size in "4 4 0" "16 50 0" "16 200 0" "16 200 1900"; do
      # shellcheck disable=SC2086
      "$tests/measure-daemon" $size
    done
    ;;
  all) "$tests/measure-policy" all "${2:-1}"; exec "$tests/measure-daemon" ;;
  *) exec "$tests/measure-policy" "$1" "${2:-1}" ;;
esac
