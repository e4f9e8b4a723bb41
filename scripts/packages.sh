#!/usr/bin/env bash
# Installs what is missing of the Debian packages that building, testing and the demonstration need.
# With the argument 'ci' also what lint and the fuzz targets need.
set -euo pipefail

need=(g++ cmake make nlohmann-json3-dev libcli11-dev libspdlog-dev libxml2-dev libxxhash-dev libmsgpack-cxx-dev
  libboost-dev libgtest-dev gnuplot-nox)
[[ ${1:-} == ci ]] && need+=(clang-format clang-tidy cppcheck clang libclang-rt-14-dev)
missing=()
for package in "${need[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
((${#missing[@]})) || exit 0
sudo=()
((EUID == 0)) || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
