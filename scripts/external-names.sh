#!/usr/bin/env bash
# Searches for each name of docs/external-names.md in the places that its group names. Fails if one is gone.
#
#   scripts/external-names.sh [PAGE]
set -euo pipefail
cd "$(dirname "$0")/.."
page=${1:-docs/external-names.md}

# String literals of C++ files, without includes; the whole text of other files.
texts_of() {
  local path
  for path in "$@"; do
    if [[ -f $path ]]; then
      cat "$path"
    else
      find "$path" -maxdepth 1 \( -name '*.cpp' -o -name '*.h' \) -exec cat {} + |
        grep -vE '^[[:space:]]*#include' | grep -oP '"(?:\\.|[^"\\])*"'
    fi
  done
}

# A name counts where no word character or hyphen touches it, but behind a separator at its own end.
found_in() {
  local name=$1 file=$2 pattern
  pattern="(?<![\\w-])\\Q$name\\E"
  [[ $name =~ [[:alnum:]_]$ ]] && pattern+='(?![\w-])'
  grep -qP -e "$pattern" "$file"
}

texts=$(mktemp)
trap 'rm -f "$texts"' EXIT
group='' count=0 missing=0 in_block=0
while IFS= read -r line; do
  case $line in
    '## '*) group=${line#\#\# } ;;
    'In: '*)
      read -ra paths <<<"$(tr -d '`' <<<"${line#In: }")"
      texts_of "${paths[@]}" >"$texts"
      ;;
    '```text') in_block=1 ;;
    '```') in_block=0 ;;
    *)
      ((in_block)) || continue
      if [[ $group == Texts* || $group == "Statements by text" ]]; then names=("$line"); else read -ra names <<<"$line"; fi
      for name in "${names[@]}"; do
        count=$((count + 1))
        found_in "$name" "$texts" && continue
        echo "external-names: gone from ${paths[*]}: $name ($group)"
        missing=$((missing + 1))
      done
      ;;
  esac
done <"$page"
echo "external-names: $count names searched for, $missing gone"
((count > 0 && missing == 0))
