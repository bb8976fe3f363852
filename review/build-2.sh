#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
. config/java-home.sh
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/standins-2/src/*.java
