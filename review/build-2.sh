#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/cases review/standins-2/*.cc
