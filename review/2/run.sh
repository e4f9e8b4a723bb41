#!/usr/bin/env bash
# Runs the case. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case=$root/review/bin/case-$(basename "$here")
command=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml")
if [[ -z $command || ! -x $case || ! -x $root/build/heathflow ]]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$case" "$command" "$root" "$folder" "$here/record.txt" &
running=$!
trap 'kill -KILL "$running" 2>/dev/null; exit 2' INT TERM
wait "$running"
code=$?
[[ -f $folder/gateway.log ]] && sed 's/^/gateway: /' "$folder/gateway.log" >>"$here/record.txt"
((code <= 2)) || code=2
exit "$code"
