#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
. config/java-home.sh || exit 2
exec "$JAVA_HOME/bin/java" -Xmx256m -cp target/review-2 StaleSeeds review/9
