#!/usr/bin/env bash
# Plays the case of this folder; claim.txt says what is shown. It needs the build of the
# deploy file and review/build.sh. Exit codes: 1 the rule was broken, 0 it held, 2 the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
if [ ! -x "$root/target/platform" ] || [ ! -x "$root/review/bin/standins" ]; then
  echo "could not run: build target/platform and review/bin/standins first"
  exit 2
fi
exec "$root/review/bin/standins" endless "$root" "$here/record.txt"
