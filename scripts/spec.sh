#!/usr/bin/env bash
# Explores every model in spec/ with Spin. Each model must hold. Each of its weakened
# forms, which a line "weaken: NAME" in the model names, must violate an assertion.
set -euo pipefail
cd "$(dirname "$0")/../spec"
root=$PWD
shopt -s nullglob
for model in *.pml; do
  work=$(mktemp -d)
  explore() { # explore OPTIMIZATION [-D...]: prints the output of pan
    (cd "$work" && spin -a "${@:2}" "$root/$model" >/dev/null && gcc "$1" -w -DSAFETY -DCOLLAPSE -o pan pan.c && ./pan -m1000000 -w24)
  }
  out=$(explore -O2)
  states=$(grep -oE '[0-9.e+]+ states, stored' <<<"$out" | head -1 || true)
  if ! grep -q 'errors: 0' <<<"$out" || grep -qE 'max search depth too small|out of memory' <<<"$out"; then
    echo "$model: FAILED"
    echo "$out"
    exit 1
  fi
  echo "$model: holds, $states"
  for switch in $(grep -oE 'weaken: [A-Z_]+' "$model" | cut -d' ' -f2); do
    out=$(explore -O1 "-D$switch") # stops at the first violation: compiling takes longest
    if ! grep -qE 'assertion violated' <<<"$out" || ! grep -qE 'errors: [1-9]' <<<"$out"; then
      echo "$model: weakened by $switch did not fail"
      exit 1
    fi
    echo "$model: $switch: expected counterexample found"
  done
  rm -rf "$work"
done
