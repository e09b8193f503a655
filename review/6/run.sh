#!/bin/sh
# Runs the case; see claim.txt. Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/release/oriolemux ] && [ -x target/review-2/flood ] || exit 2
PROCESSES="$(mktemp)" || exit 2
export PROCESSES
end() {
  while read -r id; do kill -KILL "$id" 2>/dev/null; done < "$PROCESSES"
  rm -f "$PROCESSES"
}
trap 'kill -KILL "$case" 2>/dev/null; end; exit 2' INT TERM
target/review-2/flood "$here/record.txt" &
case=$!
wait "$case"
code=$?
end
case "$code" in 0|1) exit "$code" ;; *) exit 2 ;; esac
