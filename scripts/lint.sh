#!/usr/bin/env bash
# Formatter and linter over the project's own files. Results of clean files are cached by content.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp')
cache=${XDG_CACHE_HOME:-$HOME/.cache}/masticdrift-tidy
mkdir -p "$cache"
# A file is clean until it, a header of the project or the checks change.
common=$(cat .clang-tidy $(git ls-files --cached --others --exclude-standard '*.h') | sha256sum | cut -d' ' -f1)
tidy_one() {
  key=$(printf '%s %s' "$common" "$(sha256sum <"$1")" | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if out=$(clang-tidy --quiet -p "$build" "$1" 2>/dev/null); then touch "$cache/$key"; else
    printf '%s\n' "$out"; return 1; fi
}
export -f tidy_one; export cache common build
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'tidy_one {}'
echo "format and lint: ${#sources[@]} sources clean"
