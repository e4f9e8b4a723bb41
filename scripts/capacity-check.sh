#!/usr/bin/env bash
# Checks every figure of docs/CAPACITY.md against the kept scale run; the last line is PASS or FAIL.
#
#   scripts/capacity-check.sh [--fresh] [PAGE] [RUN.json]
#
# A figure of the page is written as `FORMULA` = VALUE. A formula has numbers, + - * / ( ) and names: of the run's
# figures, or of figures that the page has named before as `NAME := FORMULA` = VALUE. VALUE has to be what the
# formula gives, rounded to the digits that it shows. With --fresh, for another run than the one that the page was
# written from, it may be off: by a factor of 2 where times or processor time go into it, which hang on the machine and
# its load, or what is counted while changes come faster than they are taken in (several come in one answer, the more the
# slower the machine), by a tenth where memory does, by a fiftieth where only other calls and bytes do, and a residual by
# a tenth of a point's value. The quiet calls and starts of drivers hang on time too: a watch waits by how fast the list
# service answers, and a call is repeated when it is late. So, in each run, fresh or not, where the page names ask_within
# (seconds): each driver calls between once and four times in it (a tenth aside, for calls at the span's ends), and has
# had a whole list or more at its start; else it is a FAIL, too. A name that nothing has, a formula that can't be read, fewer
# than FIGURES_LEAST (20) figures or fewer than RUN_LEAST (10) of them that rest on the run, or another time of the run on the page, are
# a FAIL.
set -euo pipefail
cd "$(dirname "$0")/.."
fresh=0
if [[ ${1:-} == --fresh ]]; then
  fresh=1
  shift
fi
page=${1:-docs/CAPACITY.md}
run=${2:-docs/measured/scale.json}

verdict=0
awk -v fresh="$fresh" -v figures_least="${FIGURES_LEAST:-20}" -v run_least="${RUN_LEAST:-10}" -v page="$page" -v run="$run" '
function complain(text) {
  print "line " line ": " text
  ++wrong
}
# Reads the next token of the formula into "token".
function advance() {
  sub(/^[ ]+/, "", rest)
  if (match(rest, /^[0-9]+(\.[0-9]+)?/) || match(rest, /^[A-Za-z_][A-Za-z0-9_.]*/) || match(rest, /^[-+*\/()]/)) {
    token = substr(rest, 1, RLENGTH)
    rest = substr(rest, RLENGTH + 1)
  } else {
    token = rest == "" ? "" : "?"
    rest = ""
  }
}
function primary(  value, name) {
  if (token == "(") {
    advance()
    value = sum()
    if (token != ")") bad = "a bracket is not closed"
    advance()
    return value
  }
  if (token == "-") {
    advance()
    return -primary()
  }
  if (token ~ /^[0-9]/) {
    value = token + 0
    advance()
    return value
  }
  if (token ~ /^[A-Za-z_]/) {
    name = token
    advance()
    if (name in known) {
      if (from_run[name]) rests_on_run = 1
      if (looseness[name] > loose) loose = looseness[name]
      if (name ~ /\.residual$/) slack = 0.1
      return known[name]
    }
    bad = "nothing has the name " name
    return 0
  }
  bad = "the formula can not be read"
  advance()
  return 0
}
function product(  value, other, sign) {
  value = primary()
  while (token == "*" || token == "/") {
    sign = token
    advance()
    other = primary()
    if (sign == "/" && other == 0) {
      bad = "it divides by 0"
      return 0
    }
    value = sign == "*" ? value * other : value / other
  }
  return value
}
function sum(  value, sign) {
  value = product()
  while (token == "+" || token == "-") {
    sign = token
    advance()
    value = sign == "+" ? value + product() : value - product()
  }
  return value
}
function check(formula, shown,  name, value, plain, digits, step, off, allowed) {
  ++figures
  name = ""
  if (match(formula, /^[A-Za-z_][A-Za-z0-9_.]* := /)) {
    name = substr(formula, 1, RLENGTH - 4)
    formula = substr(formula, RLENGTH + 1)
  }
  bad = ""
  rests_on_run = loose = slack = 0
  rest = formula
  advance()
  value = sum()
  if (bad == "" && token != "") bad = "the formula can not be read"
  if (bad != "") return complain(bad ": " formula)
  plain = shown
  gsub(/,/, "", plain)
  digits = index(plain, ".") ? length(plain) - index(plain, ".") : 0
  step = 10 ^ -digits
  off = value - plain
  if (off < 0) off = -off
  allowed = 0.5001 * step
  if (fresh) allowed += slack + loose * (plain < 0 ? -plain : plain + 0)
  if (off > allowed) return complain(formula " = " shown " on the page, " value " from the run")
  if (rests_on_run) ++on_run
  if (name == "") return
  if (name in known) return complain("the name " name " is taken")
  known[name] = value
  from_run[name] = rests_on_run
  looseness[name] = loose
}
# How far another run may be off, as a share.
function loosenessOf(name) {
  if (name ~ /\.residual$/) return 0
  if (name ~ /^drivers\.([0-9]+\.)?(calls_per_s|bytes_per_s|watch_s|start_whole_lists|start_bytes)/) return 1
  if (name ~ /_ms|_us|cpu|^load\.|^burst\.|^changes\./) return 1
  if (name ~ /resident/) return 0.1
  return 0.02
}
# What holds for quiet drivers and their starts whatever the times were.
function checkDrivers(  name, part, each) {
  line = "of the run"
  for (name in known) {
    if (name !~ /^drivers\.[0-9]+\./) continue
    split(name, part, ".")
    each = known[name] / part[2]
    if (part[3] == "calls_per_s" && (each * known["ask_within"] < 0.9 || each * known["ask_within"] > 4.4))
      complain(name ": a driver calls " each * known["ask_within"] " times in ask_within")
    if (part[3] == "start_whole_lists" && each < 1) complain(name ": " each " whole lists a driver")
  }
}
FILENAME == run && /^ "date": / {
  split($0, part, "\"")
  date = part[4]
}
FILENAME == run {
  if (match($0, /^ *"[A-Za-z][A-Za-z0-9_.]*": -?[0-9]/)) {
    split($0, part, "\"")
    value = $0
    sub(/^[^:]*: /, "", value)
    known[part[2]] = value + 0
    from_run[part[2]] = 1
    looseness[part[2]] = loosenessOf(part[2])
  }
  next
}
{
  line = FNR
  left = $0
  if (date != "" && index($0, date)) dated = 1
  while (match(left, /`[^`]+` = -?[0-9][0-9,]*(\.[0-9]+)?/)) {
    found = substr(left, RSTART, RLENGTH)
    left = substr(left, RSTART + RLENGTH)
    split(found, part, "`")
    formula = part[2]
    shown = part[3]
    sub(/^ = /, "", shown)
    check(formula, shown)
  }
}
END {
  if ("ask_within" in known) checkDrivers()
  print figures + 0 " figures, " on_run + 0 " of them rest on the run"
  if (figures < figures_least || on_run < run_least) {
    print "too few: " figures_least " figures and " run_least " that rest on the run are expected"
    ++wrong
  }
  if (!fresh && !dated) {
    print "the page does not name the time of the run: " date
    ++wrong
  }
  exit wrong > 0
}
' "$run" "$page" || verdict=1
((verdict == 0)) && echo PASS || echo FAIL
exit "$verdict"
