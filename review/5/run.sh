#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
. config/java-home.sh || exit 2
timeout -k 5 100 "$JAVA_HOME/bin/java" -Xmx512m -cp review/target/classes UnframedStopped review/5
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
