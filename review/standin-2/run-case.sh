#!/usr/bin/env bash
# run-case.sh CASE FOLDER: runs a case and ends all processes that it started. Exits with 1 if the rule was broken, with 0
# if it held and with 2 if the case couldn't run.
set -uo pipefail
case=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-standin-2/release/review-standin-2
if [ ! -x "$driver" ] || [ ! -x target/release/godwitstep-platform ]; then
  echo 'not built: see review/build-2.sh and deploy/system.toml'
  exit 2
fi
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
running=

end_processes() {
  [ -z "$running" ] || kill -KILL "$running" 2>/dev/null
  while read -r process; do
    kill -KILL "$process" 2>/dev/null
  done <"$REVIEW_PROCESSES"
  rm -f "$REVIEW_PROCESSES"
}
trap end_processes EXIT
trap 'exit 2' INT TERM HUP

"$driver" "$case" "$folder/record.txt" &
running=$!
wait "$running"
status=$?
running=
[ "$status" -le 1 ] || status=2
exit "$status"
