#!/usr/bin/env bash
# The scale runs behind docs/CAPACITY.md: plays scenarios/scale/scale.xml, keeps what it measured in docs/measured/
# (scale.json, scale.md, scale.svg), and checks the page's figures against it. The last line is PASS or FAIL. Some
# six minutes, up to 1 GiB and 15,000 descriptors: not for CI, where the small form runs (ctest -L scale).
#   bench/scale.sh            measures
#   bench/scale.sh --check    only checks the page against the run that is kept, once it was edited
set -euo pipefail
cd "$(dirname "$0")/.."
plan=scenarios/scale/scale.xml
out=docs/measured
page=docs/CAPACITY.md
verdict_title="## The page's figures against this run"

# Puts the verdict at the end of the kept table.
judge() { # further arguments of the check
  local verdict last table
  verdict=$(scripts/capacity-check.sh "$@" "$page" "$out/scale.json") || true
  table=$(sed "/^$verdict_title/,\$d" "$out/scale.md")
  last=$(tail -1 <<<"$verdict")
  if grep -qE '^(NOT REACHED|ended early)' <<<"$table"; then last=FAIL; fi
  printf '%s\n\n%s\n\n%s\n\n%s\n' "$table" "$verdict_title" "$(sed 's/^/    /' <<<"$verdict")" "$last" >"$out/scale.md"
  tail -1 "$out/scale.md"
  [[ $last == PASS ]]
}

if [[ ${1:-} == --check ]]; then
  judge
  exit
fi

work=$(mktemp -d)
rig=
# The rig ends its drivers with itself, however it ends.
cleanup() {
  [[ -z $rig ]] || kill "$rig" 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=OFF -DHEATHFLOW_EMULATOR=ON >/dev/null
cmake --build build-bench -j"${JOBS:-3}" --target heathflow heathflow-emulator >/dev/null

build-bench/heathflow-emulator scale "$plan" --out "$work" >"$work/log" &
rig=$!
status=0
wait "$rig" || status=$?
rig=
cat "$work/log" >&2
# 1: a step was not reached, which the table says.
((status <= 1)) || exit "$status"
name=$(basename "$work"/*.json .json)
cp "$work/$name.json" "$out/scale.json"
if [[ -f $work/$name.svg ]]; then cp "$work/$name.svg" "$out/scale.svg"; fi
{
  echo "# Scale, measured"
  echo
  echo "Written by \`bench/scale.sh\` with \`$plan\`; all figures, a line each: [scale.json](scale.json), drawn: [scale.svg](scale.svg)."
  echo "A slope is \`base + each x size\`, fitted by relative distances; its residual is the farthest point's distance as a share of its value."
  echo "Times and processor times hang on the machine's load, which stands beside each step as \`load.*\`; calls and bytes are counted (quiet calls and starts follow the list service's answer times). What each"
  echo "name means: [../operate/scale.md](../operate/scale.md)."
  echo
  sed -n "/^$name, /,\$p" "$work/log"
} >"$out/scale.md"
judge --fresh
