#!/usr/bin/env bash
# Makes another customer's site out of a given one: applies the edits of a file under deploy/sites/ and puts what
# the benches look for beside the result.
#
#   scripts/site-variant.sh deploy/sites/NAME.edits [SITE [FOLDER]]
#
# Writes FOLDER/NAME.toml (deploy/sites/made/NAME/ where no folder is named). A line of the edits is one of:
#   table.key = value       another value for a key      class[1].aim_ms = 300: of the second [[class]]
#   table + key = value     one more key of a table      .key: of the part before the first table
#   table.key -             without that key             table -: without that table
#   append text             one more line at the end
# An edit that matches nothing, or a key that is there already, is an error, and nothing is written.
set -euo pipefail
cd "$(dirname "$0")/.."

fail() {
  echo "site-variant: $*" >&2
  exit 1
}

edits=${1:-}
site=${2:-../given/kit/sites/nairobi-jobs.toml}
[[ -n $edits ]] || fail "usage: scripts/site-variant.sh EDITS [SITE [FOLDER]]"
[[ -r $edits ]] || fail "there are no edits at $edits"
[[ -r $site ]] || fail "there is no site at $site: the operators' kit is needed for this"
name=$(basename "$edits" .edits)
folder=${3:-deploy/sites/made/$name}
beside=(real.json wire.json unlock.txt)
for file in "${beside[@]}"; do
  [[ -r $(dirname "$site")/$file ]] || fail "there is no $file beside $site"
done

made=$(awk '
  function trim(text) { gsub(/^[ \t]+|[ \t]+$/, "", text); return text }
  function wrong(text) { print "site-variant: " text > "/dev/stderr"; bad = 1 }
  # The edits.
  FNR == NR {
    line = trim($0)
    if (line == "" || line ~ /^#/) next
    ++edits
    text[edits] = line
    if (line ~ /^append /) { kind[edits] = "append"; value[edits] = substr(line, 8); used[edits] = 1; next }
    if (match(line, /^[^ =]+ \+ [a-z0-9_]+ *= */)) {
      split(line, part, " ")
      kind[edits] = "add"; place[edits] = part[1]; key[edits] = part[3]
      value[edits] = substr(line, RLENGTH + 1)
      next
    }
    if (match(line, /^[^ ]+ -$/)) { kind[edits] = "drop"; place[edits] = substr(line, 1, length(line) - 2); next }
    if (match(line, /^[^ =]+ *= */)) {
      kind[edits] = "set"; place[edits] = trim(substr(line, 1, index(line, "=") - 1))
      value[edits] = substr(line, RLENGTH + 1)
      next
    }
    wrong("this is no edit: " line)
    next
  }
  # The site: which table a line stands in, and which key it holds.
  {
    if (match($0, /^\[\[[a-z_.]+\]\]/)) {
      base = substr($0, 3, RLENGTH - 4)
      table = base "[" (count[base]++) "]"
      header = 1
    } else if (match($0, /^\[[a-z_.]+\]/)) {
      table = substr($0, 2, RLENGTH - 2)
      header = 1
    } else {
      header = 0
    }
    if (header) dropped = 0
    name = ""
    if (!header && match($0, /^[a-z0-9_]+ *=/)) name = trim(substr($0, 1, RLENGTH - 1))
    for (i = 1; i <= edits && header; ++i) {
      if (kind[i] == "drop" && place[i] == table) { used[i] = 1; dropped = 1 }
    }
    if (dropped) next
    out = $0
    for (i = 1; i <= edits && name != ""; ++i) {
      if (kind[i] == "set" && place[i] == table "." name) { used[i]++; out = name " = " value[i] }
      if (kind[i] == "drop" && place[i] == table "." name) { used[i]++; out = "" }
      if (kind[i] == "add" && place[i] == table && key[i] == name) wrong("the key is there already: " text[i])
    }
    print out
    for (i = 1; i <= edits && header; ++i) {
      if (kind[i] == "add" && place[i] == table) { used[i]++; print key[i] " = " value[i] }
    }
  }
  END {
    for (i = 1; i <= edits; ++i) {
      if (kind[i] == "append") print value[i]
      if (!used[i]) wrong("an edit that matches nothing: " text[i])
    }
    if (edits == 0) wrong("there are no edits in the file")
    exit bad
  }' "$edits" "$site") || exit 1

mkdir -p "$folder"
printf '%s\n' "$made" >"$folder/$name.toml"
for file in "${beside[@]}"; do
  cp "$(dirname "$site")/$file" "$folder/$file"
  chmod u+w "$folder/$file"
done
echo "$folder/$name.toml"
