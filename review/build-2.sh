#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the project's own program: one program for each
# case, with its stand-ins. Standard library only; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in twice open_door flood heads hot; do
  [ -f "review/standins-2/$case.rs" ] || continue
  rustc --edition 2024 -O -o "target/review-2/$case" "review/standins-2/$case.rs"
done
