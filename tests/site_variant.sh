#!/usr/bin/env bash
# Runs scripts/site-variant.sh on a made-up site.
set -euo pipefail
script=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkdir "$folder/given"
cat >"$folder/given/site.toml" <<'MADE'
name = "made-up"

[net]
same_ms = [1, 2]

[[class]]
name = "first"
aim_ms = 100

[[class]]
name = "second"
aim_ms = 200
group = "all"

[extra]
key = 1
MADE
for file in real.json wire.json unlock.txt; do echo "$file" >"$folder/given/$file"; done

problems=0
complain() {
  echo "$*"
  problems=1
}
# An edit that can't be: it is named, and nothing is written.
refused() {
  local says=$1 out status=0
  printf '%s\n' "$2" >"$folder/bad.edits"
  out=$("$script" "$folder/bad.edits" "$folder/given/site.toml" "$folder/bad" 2>&1) || status=$?
  [[ $status -ne 0 && $out == *"$says"* ]] || complain "'$2' gave status $status and said: $out"
  [[ ! -e $folder/bad ]] || complain "'$2' wrote something"
}

cat >"$folder/other.edits" <<'MADE'
# A comment.
.name = "other"
net.same_ms = [5, 6]
class[1].aim_ms = 300
class[1] + window_ms = 700
class[1].group -
extra -
append [[class]]
append name = "third"
MADE
"$script" "$folder/other.edits" "$folder/given/site.toml" "$folder/made" >/dev/null ||
  complain "good edits were refused"
wanted='name = "other"
[net]
same_ms = [5, 6]
[[class]]
name = "first"
aim_ms = 100
[[class]]
window_ms = 700
name = "second"
aim_ms = 300
[[class]]
name = "third"'
[[ $(grep -v '^$' "$folder/made/other.toml") == "$wanted" ]] || complain "made: $(cat "$folder/made/other.toml")"
for file in real.json wire.json unlock.txt; do
  [[ $(cat "$folder/made/$file") == "$file" ]] || complain "$file is not beside the result"
done

refused "matches nothing: class[2].aim_ms = 1" 'class[2].aim_ms = 1'
refused "matches nothing: nowhere -" 'nowhere -'
refused "is there already: class[0] + aim_ms = 1" 'class[0] + aim_ms = 1'
refused "this is no edit: aim_ms" 'aim_ms'
refused "there are no edits in the file" '# only a comment'
out=$("$script" "$folder/other.edits" "$folder/nowhere/site.toml" "$folder/none" 2>&1) && complain "it did without a site"
[[ $out == *"the operators' kit is needed"* ]] || complain "without a site it says: $out"
rm "$folder/given/real.json"
"$script" "$folder/other.edits" "$folder/given/site.toml" "$folder/none" >/dev/null 2>&1 && complain "it did without real.json"
[[ ! -e $folder/none ]] || complain "it wrote something without the kit"
exit "$problems"
