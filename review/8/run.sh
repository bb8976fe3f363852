#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run goes to record.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
record=review/8/record.txt
echo "the case did not start" >"$record"
. config/java-home.sh || exit 2
timeout -k 3 116 "$JAVA_HOME/bin/java" -Xmx256m -cp target/review-2 SpoiledEvent "$record"
code=$?
# A program that could not start also ends with 1; the record says how the case ended.
[ "$code" -le 1 ] && grep -q " exit $code\$" "$record" && exit "$code"
exit 2
