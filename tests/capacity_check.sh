#!/usr/bin/env bash
# Runs scripts/capacity-check.sh on made-up pages and runs, then on the page and the run of this repository.
set -euo pipefail
check=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat >"$folder/run.json" <<'MADE'
{
 "name": "made",
 "date": "2026-01-02T03:04:05Z",
 "figures": {
  "drivers.calls.each": 0.4,
  "members.100.bytes": 18250,
  "members.bytes.base": -12.5,
  "members.cpu_us": 100,
  "members.bytes.residual": 0.01,
  "drivers.100.calls_per_s": 20,
  "drivers.100.start_whole_lists": 104,
  "burst.calls": 10000
 }
}
MADE

problems=0
# What is expected, what must be printed, and the page.
expect() {
  local wanted=$1 says=$2 status=0
  printf '%s\n' "${dated-Of 2026-01-02T03:04:05Z.}" "$3" >"$folder/page.md"
  out=$(FIGURES_LEAST=${least:-1} RUN_LEAST=${least:-1} "$check" ${fresh:+--fresh} "$folder/page.md" "$folder/run.json" 2>&1) || status=$?
  if [[ $wanted != "$(tail -1 <<<"$out")" || $out != *"$says"* || $wanted == PASS && $status -ne 0 ||
    $wanted == FAIL && $status -eq 0 ]]; then
    echo "wanted: $wanted, with '$says'; status $status, it said:"
    echo "$out"
    problems=1
  fi
}

expect PASS '1 figures, 1 of them' 'Calls: `3300 * drivers.calls.each` = 1,320 a second.'
expect PASS '2 figures' '`members.100.bytes / 1024` = 17.8 KB and `(1 + 2) * members.bytes.base` = -37.5.'
expect PASS '2 figures, 2 of them' '`fleet := 3300 * drivers.calls.each` = 1,320
`fleet / 2 - 10` = 650'
expect FAIL 'on the page, 1320 from the run' '`3300 * drivers.calls.each` = 1,321'
expect FAIL 'on the page' '`members.100.bytes / 1024` = 17.9'
expect FAIL 'on the page' '| `members.100.bytes / 1024` = 17.8 | `drivers.calls.each` = 0.5 |'
expect FAIL 'nothing has the name drivers.call' '`drivers.call * 2` = 0.8'
expect FAIL 'nothing has the name fleet' '`fleet * 2` = 2,640
`fleet := 3300 * drivers.calls.each` = 1,320'
expect FAIL 'is taken' '`drivers.calls.each := 1 * members.100.bytes` = 18250'
expect FAIL 'can not be read' '`drivers.calls.each *` = 0.4'
expect FAIL 'can not be read' '`drivers.calls.each 2` = 0.4'
expect FAIL 'is not closed' '`(drivers.calls.each` = 0.4'
expect FAIL 'divides by 0' '`drivers.calls.each / 0` = 1'
expect FAIL 'too few' 'No figure stands here.'
expect FAIL 'too few' '`2 * 3` = 6 rests on nothing that was measured.'
least=2 expect FAIL 'too few' '`drivers.calls.each` = 0.4'dated='Of 2026-01-01T03:04:05Z.' expect FAIL 'does not name the time of the run' '`drivers.calls.each` = 0.4'

# What holds for quiet drivers whatever the times were: a call in ask_within or up to four, a whole list or more.
expect PASS '1 figures' '`ask_within := 10 * drivers.calls.each / 0.4` = 10'
expect PASS '1 figures' '`ask_within := 5 * drivers.calls.each / 0.4` = 5'
expect FAIL 'calls 0.8 times in ask_within' '`ask_within := 4 * drivers.calls.each / 0.4` = 4'
expect FAIL 'calls 5 times in ask_within' '`ask_within := 25 * drivers.calls.each / 0.4` = 25'
sed -i 's/"drivers.100.start_whole_lists": 104/"drivers.100.start_whole_lists": 99/' "$folder/run.json"
expect FAIL '0.99 whole lists a driver' '`ask_within := 10 * drivers.calls.each / 0.4` = 10'
sed -i 's/"drivers.100.start_whole_lists": 99/"drivers.100.start_whole_lists": 104/' "$folder/run.json"

# Another run may be off by a little where things are counted, by a factor of two where they are timed.
fresh=1
expect PASS '2 figures' '`3300 * drivers.calls.each` = 1,321 and `members.cpu_us / 2` = 30'
expect FAIL 'on the page' '`3300 * drivers.calls.each` = 1,400'
expect FAIL 'on the page' '`members.cpu_us / 2` = 20'
expect PASS '2 figures' '`cpu := members.cpu_us * 1` = 60 and `cpu + members.100.bytes * 0` = 120'
expect PASS '2 figures' '`members.bytes.residual` = 0.09 and `burst.calls` = 6,000'
expect FAIL 'on the page' '`members.bytes.residual` = 0.12'
expect FAIL 'on the page' '`burst.calls` = 4,000'
expect PASS '2 figures' '`drivers.100.calls_per_s` = 12 and `drivers.100.start_whole_lists` = 100'
expect FAIL 'on the page' '`drivers.100.calls_per_s` = 9'
expect FAIL 'on the page' '`drivers.100.start_whole_lists` = 50'
expect FAIL 'calls 0.8 times in ask_within' '`ask_within := 4 * drivers.calls.each / 0.4` = 4'
fresh=
expect FAIL 'on the page' '`members.bytes.residual` = 0.02'
expect FAIL 'on the page' '`burst.calls` = 9,999'

# The page is checked against the run that is kept with it.
"$check" | tail -1 | grep -qx PASS || {
  "$check" || true
  problems=1
}
exit "$problems"
