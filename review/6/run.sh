#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crocusjunction ] && [ -x target/review-rig-2 ] || exit 2
REVIEW_NODE="$PWD/target/crocusjunction" timeout -k 2 115 target/review-rig-2 again "$PWD/review/6/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
