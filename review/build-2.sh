#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -o target/review-2/cases review/standin-2/cases.cpp review/standin-2/world.cpp -lboost_json
