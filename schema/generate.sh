#!/usr/bin/env bash
# Generates the C++ code of the schema. With --check, compares with what is committed.
set -euo pipefail
cd "$(dirname "$0")"
out=generated
if [ "${1:-}" = "--check" ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --object-suffix _value --cpp-ptr-type std::shared_ptr \
  --reflect-types --reflect-names -o "$out" messages.fbs
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --object-suffix _value --cpp-ptr-type std::shared_ptr \
  --reflect-types --reflect-names --bfbs-gen-embed -o "$out" settings.fbs
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --object-suffix _value --cpp-ptr-type std::shared_ptr \
  -o "$out" snapshot.fbs
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --object-suffix _value --cpp-ptr-type std::shared_ptr \
  -o "$out" credit.fbs
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --object-suffix _value --cpp-ptr-type std::shared_ptr \
  -o "$out" streams.fbs
if [ "$out" != generated ]; then
  diff -r generated "$out" && echo "generated code is up to date"
fi
