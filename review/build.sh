#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/. Needs the compiler only; the build of the
# deploy file makes teaseljunction-node.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  case=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" review/standin/harness.cc \
    -o "target/review/case$case"
done
