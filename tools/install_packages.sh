#!/usr/bin/env bash
# Installs the missing Debian packages of the build, the tests and the checks.
# Installs nothing and needs no network if all of them are present.
set -euo pipefail

packages=(
  g++ cmake ninja-build make ccache git pkg-config python3
  clang-format-16 clang-tidy-16 clang-16 libclang-rt-16-dev
  libcxxtools-dev
  libboost-dev libmsgpack-cxx-dev
  prometheus-cpp-dev libpopt-dev libspdlog-dev
  libcppunit-dev librapidcheck-dev libbenchmark-dev
  libsodium-dev libxxhash-dev libjsoncpp-dev
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [[ $status == "install ok installed" ]] || missing+=("$package")
done
[[ ${#missing[@]} -eq 0 ]] && exit 0

echo "installing: ${missing[*]}"
as_root=()
[[ $(id -u) -eq 0 ]] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" \
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
