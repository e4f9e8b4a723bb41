#!/usr/bin/env bash
# Runs scripts/run-tests.sh, the runner behind 'make test' and CI, on made-up tests.
set -euo pipefail
runner=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat >"$folder/CTestTestfile.cmake" <<'MADE'
add_test("Good.Passes" "/bin/true")
add_test("Bad.Fails" "/bin/false")
add_test("Bad.FailsToo" "/bin/false")
add_test("Suite/Rule.Holds/One  # GetParam() = 4-byte object <00-00 00-00>" "/bin/false")
MADE

problems=0
# What is expected, what must be printed, and the lines of the file.
expect() {
  local wanted=$1 says=$2 said=0 status=0
  printf '%s' "$3" >"$folder/red.txt"
  out=$("$runner" "$folder" "$folder/red.txt" 2>&1) || status=$?
  [[ $out == *"$says"* ]] && said=1
  if [[ $wanted == pass && $status -ne 0 || $wanted == fail && $status -eq 0 || $said -eq 0 ]]; then
    echo "wanted: $wanted, with '$says'; status $status, it said:"
    echo "$out"
    problems=1
  fi
}

all='Bad.Fails | it is wrong | issue 1
Bad.FailsToo | so is this | issue 2
Suite/Rule.Holds/One | and this | issue 3
'
expect pass 'known red, passed over: Bad.FailsToo: so is this (issue 2)' "$all"
expect pass '0 tests failed out of 1' "$all"
expect fail 'Bad.FailsToo' 'Bad.Fails | a name that is the beginning of another passes over one only | issue 1
Suite/Rule.Holds/One | and this | issue 3
'
expect fail 'Bad.Fails' ''
expect fail 'no test has the name Bad.F' "Bad.F | a part of a name is none | issue 1
$all"
expect fail '4 tests are listed' "Good.Passes | it passes | issue 4
$all"
expect fail "is no 'NAME | CAUSE | ISSUE'" 'Bad.Fails
'
expect fail "is no 'NAME | CAUSE | ISSUE'" 'Bad.Fails | no issue |
'
# Without the file all tests count.
rm "$folder/red.txt"
if "$runner" "$folder" "$folder/red.txt" >/dev/null 2>&1; then
  echo "without the file a failing test passed"
  problems=1
fi
exit "$problems"
