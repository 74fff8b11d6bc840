#!/usr/bin/env bash
# Formatter and linter over the project's own files, or over the sources named as arguments. A source counts as clean
# until it, a project header that it includes, or the checks change; needs a finished build for the dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ $# -gt 0 ]; then
  sources=("$@")
  clang-format --dry-run --Werror "$@"
else
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp')
  git ls-files -z --cached --others --exclude-standard '*.cpp' '*.h' | xargs -0 clang-format --dry-run --Werror
fi
cache=${XDG_CACHE_HOME:-$HOME/.cache}/masticdrift-tidy
mkdir -p "$cache"
deps=$(mktemp)
trap 'rm -f "$deps"' EXIT
# One line per source: the source and the project headers that it includes.
ninja -C "$build" -t deps | awk '
  /^[^ ].*: #deps/ { if (line != "") print line; line = ""; next }
  /^ +\.\.\// { sub(/^ +\.\.\//, ""); line = line == "" ? $0 : line " " $0 }
  END { if (line != "") print line }' >"$deps"
tidy_one() {
  files=$(grep -m1 "^$1\( \|\$\)" "$deps" || echo "$1")
  # shellcheck disable=SC2086
  key=$(cat .clang-tidy $files | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  # The path-sensitive analyzer takes most of the time and is kept for the product's sources.
  checks=; case $1 in tests/*) checks=--checks=-clang-analyzer-* ;; esac
  if out=$(clang-tidy --quiet $checks -p "$build" "$1" 2>/dev/null); then touch "$cache/$key"; else
    printf '%s\n' "$out"; return 1; fi
}
export -f tidy_one; export cache build deps
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'tidy_one {}'
echo "format and lint: ${#sources[@]} sources clean"
