#!/usr/bin/env bash
# A cold start of many real drivers: this version, with and without what an earlier life has learned, and the
# version before in turn, in one run. Writes docs/measured/coldstart.md and its chart; the last line is PASS or
# FAIL. Long (about 12 minutes with three rounds): not for CI.
#   bench/coldstart.sh [ROUNDS]     BEFORE=COMMIT   the version to compare with
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-3}
before=${BEFORE:-8c2bcaf}
work=$(mktemp -d)
trap 'git worktree remove --force "$work/before" >/dev/null 2>&1 || true; rm -rf "$work"' EXIT

git worktree add --detach --force "$work/before" "$before" >/dev/null 2>&1
cmake -S "$work/before" -B "$work/before/build" -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=OFF >/dev/null
cmake --build "$work/before/build" -j"$(nproc)" >/dev/null
cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=ON >/dev/null
cmake --build build-bench -j"$(nproc)" --target heathflow heathflow-emulator heathflow_startup_sim >/dev/null

scenario() { # drivers, milliseconds a list, what was learned
  cat <<XML
<scenario xmlns="urn:heathflow:scenario:1" name="coldstart" seconds="10" seed="$4">
  <drivers count="$1" known="old" $3/>
  <members groups="1" replicas="11" cold="true"/>
  <list call-us="0" line-us="$(($2 * 1000 / 12))"/>
  <load per-driver="4" save="0" status="0" view="0.6" any="0.4"/>
</scenario>
XML
}

rows="$work/rows"
: >"$rows"
for ((round = 1; round <= rounds; ++round)); do
  for drivers in 50 100 300; do
    for ms in 4 20; do
      for version in before now learned; do
        program=build-bench/heathflow
        known=""
        [[ $version == before ]] && program="$work/before/build/heathflow"
        [[ $version == learned ]] && known="learned-us=\"$((ms * 1000 + 500))\" usual-us=\"4500\""
        scenario "$drivers" "$ms" "$known" "$round" >"$work/s.xml"
        numbers=$(build-bench/heathflow-emulator run "$work/s.xml" --program "$program" --numbers || true)
        echo "$drivers $ms $version $numbers" | tee -a "$rows" >&2
      done
    done
  done
done

# One driver alone: how long until its first request is served, members warm.
for ((round = 1; round <= 2 * rounds + 1; ++round)); do
  for version in before now; do
    program=build-bench/heathflow
    [[ $version == before ]] && program="$work/before/build/heathflow"
    cat >"$work/lone.xml" <<XML
<scenario xmlns="urn:heathflow:scenario:1" name="lone" seconds="1" seed="$round">
  <drivers count="1" known="old"/><members/><list/><load per-driver="200" save="0"/>
</scenario>
XML
    echo "1 1 $version $(build-bench/heathflow-emulator run "$work/lone.xml" --program "$program" --numbers || true)" >>"$rows"
  done
done

out=docs/measured/coldstart.md
{
  echo "# Cold start, measured"
  echo
  echo "Written by \`bench/coldstart.sh $rounds\` on $(nproc) cores of $(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -1)," \
    "$(free -g | awk '/^Mem/{print $2}') GiB, against the version $before. All processes, the rig too, share these cores. Medians of $rounds rounds;" \
    "the versions take turns. 12 members that have all just started, one list service that serves one list at a time and turns away who would wait over 1 s," \
    "4 reads a second of each driver for 10 s. 'learned': the cost of a list and of a request is known from an earlier life (snapshot)."
  echo
  awk -f bench/coldstart.awk "$rows"
} >"$work/head.md"
grep -v '^VERDICT' "$work/head.md" >"$out"
{
  echo
  echo "## Ways of calling, simulated"
  echo
  echo "All drivers come up within 0.3 s. The floor is what the service needs for one list of each driver. Same module as in the driver"
  echo "('by name'); a driver is bound to ask within 10 s, which no schedule can keep where the floor is longer."
  echo
  build-bench/heathflow_startup_sim
  echo
  grep '^VERDICT' "$work/head.md" | sed 's/^VERDICT //'
} >>"$out"
tail -1 "$out"
