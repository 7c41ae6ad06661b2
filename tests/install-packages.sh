#!/bin/sh
# Usage: tests/install-packages.sh PACKAGE...
# Installs the Debian packages that are missing; does nothing if all are installed.
set -eu
missing=
for package in "$@"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
# $sudo and $missing are split into words on purpose.
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
