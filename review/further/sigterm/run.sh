#!/usr/bin/env bash
# Runs this finding once, with the same exit status as the cases: 1: the rule was broken, 0: it held, 2: it could not run. With TROUBLE=0 nothing is disrupted.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
name="$(basename "$here")"
cd "$here/../../.." || exit 2
[ -x target/figward ] && [ -x "review/bin/$name" ] || { echo "not built: run the build of the deploy file and review/build.sh" >&2; exit 2; }
folder="$(mktemp -d)" || exit 2
timeout -k 5 110 "review/bin/$name" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] && exit "$status"
exit 2
