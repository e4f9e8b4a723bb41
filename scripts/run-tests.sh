#!/usr/bin/env bash
# Runs the tests of a build folder, all but those that KNOWN-RED.txt names.
#
#   scripts/run-tests.sh FOLDER [KNOWN-RED-FILE]
#
# A line of that file is 'NAME | CAUSE | ISSUE': a test by its exact name, what makes it fail, and where that is
# to be mended. Each is printed and passed over. More than three, a line that is none, or a name that no test has
# is an error, and nothing runs then.
set -euo pipefail

fail() {
  echo "run-tests: $*" >&2
  exit 1
}

folder=${1:-}
[[ -n $folder ]] || fail "usage: scripts/run-tests.sh FOLDER [KNOWN-RED-FILE]"
[[ -r $folder/CTestTestfile.cmake ]] || fail "there are no tests in $folder"
red=${2:-$(dirname "$0")/../KNOWN-RED.txt}

passed_over=()
count=0
if [[ -e $red ]]; then
  # What a suite's parameter looks like in memory stands behind a name's end and is no part of it.
  all=$(ctest --test-dir "$folder" -N | sed -nE 's/^ *Test +#[0-9]+: (.*)$/\1/p')
  while IFS= read -r line || [[ -n $line ]]; do
    [[ -z $line || $line == \#* ]] && continue
    ((++count))
    [[ $line =~ ^([^|]*[^|[:space:]])[[:space:]]*\|[[:space:]]*([^|]*[^|[:space:]])[[:space:]]*\|[[:space:]]*([^|]*[^|[:space:]])[[:space:]]*$ ]] ||
      fail "$red: this line is no 'NAME | CAUSE | ISSUE': $line"
    name=${BASH_REMATCH[1]}
    echo "known red, passed over: $name: ${BASH_REMATCH[2]} (${BASH_REMATCH[3]})"
    found=0
    while IFS= read -r test; do
      [[ $test == "$name" || ${test%%  \# *} == "$name" ]] || continue
      found=1
      passed_over+=("$(sed -E 's/[][\.*^$+?(){}|/]/\\&/g' <<<"$test")")
    done <<<"$all"
    ((found)) || fail "$red: no test has the name $name"
  done <"$red"
fi
((count <= 3)) || fail "$red: $count tests are listed, three at most may be"

but=()
((${#passed_over[@]})) && but=(-E "^($(IFS='|' && echo "${passed_over[*]}"))\$")
exec ctest --test-dir "$folder" --output-on-failure --no-tests=error -j"${JOBS:-$(nproc)}" "${but[@]}"
