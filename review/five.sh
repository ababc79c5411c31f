#!/bin/sh
# Runs the script of a case five times and once with TROUBLE=0, and prints the results: review/five.sh N
cd "$(dirname "$0")/.." || exit 2
for round in 1 2 3 4 5; do
    "review/$1/run.sh"
    echo "run $round: exit $?"
done
kept=$(mktemp)
cp "review/$1/record.txt" "$kept"
TROUBLE=0 "review/$1/run.sh"
echo "TROUBLE=0: exit $?"
cp "$kept" "review/$1/record.txt"
rm -f "$kept"
