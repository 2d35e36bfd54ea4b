#!/usr/bin/env bash
# Checks the formatting of all sources and lints them with the compile commands
# of BUILD_DIR (default build). With arguments, lints only these files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  'Source/*.cc' 'Source/*.h' 'Tests/*.cc' 'Tests/*.h' 'Utilities/*.cc' \
  'Utilities/*.h' | grep -v '^Source/rpc/generated/')
clang-format --dry-run --Werror "${files[@]}"
if [ $# -gt 0 ]; then
  sources=("$@")
else
  mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
fi
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 2 -P "${LINT_JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet \
    2> >(grep -v 'warnings generated' >&2)
