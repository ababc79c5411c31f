#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
build() {
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Istandin "$1/scenario.cpp" -o "bin/$2" -lboost_json -lpthread
}
build 1 case-1
build 2 case-2
build further/sigterm sigterm
build further/foreign-entry foreign-entry
