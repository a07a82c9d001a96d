#!/usr/bin/env bash
# Runs every test with the race detector, except those that KNOWN-RED.txt names in its
# first column; a subtest is named TEST/SUBTEST. The tests of crowds of clients run last, on their own.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=''
if [ -s KNOWN-RED.txt ]; then
  skip=$(cut -d' ' -f1 KNOWN-RED.txt | sed 's#/#$/^#; s#.*#^&$#' | paste -sd'|')
fi
args=(-count=1 -timeout=8m)
crowds='^TestCrowd'

# On arm64 the race detector itself crashes in these packages: "ThreadSanitizer: CHECK
# failed: tsan_rtl.cpp:346".
without_race=()
if [ "$(uname -m)" = aarch64 ]; then
  without_race+=(dogwoodpond/internal/step)
fi
mapfile -t with_race < <(go list ./... | grep -vxF -f <(printf '%s\n' "${without_race[@]}"))

failed=0
go test -race "${args[@]}" -skip "$crowds${skip:+|$skip}" "${with_race[@]}" || failed=1
if [ "${#without_race[@]}" -gt 0 ]; then
  echo "without the race detector, which crashes on this machine: ${without_race[*]}"
  go test "${args[@]}" -skip "${skip:-^$}" "${without_race[@]}" || failed=1
fi
for package in ./platform/soak ./internal/processtest; do
  go test -race "${args[@]}" -skip "${skip:-^$}" -run "$crowds" "$package" || failed=1
done
exit "$failed"
