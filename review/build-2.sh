#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6, review/7 and review/8 start, into
# target/review-2/. Their source is in review/6/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/cases review/6/cases.cc review/6/standins.cc
