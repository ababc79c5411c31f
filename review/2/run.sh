#!/usr/bin/env bash
# Runs the case once; exit status 1: the rule was broken, 0: it held, 2: the case could not run. With TROUBLE=0 nothing is disrupted.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
number="$(basename "$here")"
cd "$here/../.." || exit 2
[ -x target/figward ] && [ -x "review/bin/case-$number" ] || { echo "not built: run the build of the deploy file and review/build.sh" >&2; exit 2; }
folder="$(mktemp -d)" || exit 2
# The scenario starts the processes and ends them; they also end with it.
timeout -k 5 110 "review/bin/case-$number" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] && exit "$status"
exit 2
