#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the review into review/target/; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
. ../config/java-home.sh
rm -rf target
mkdir -p target/classes
"$JAVA_HOME/bin/javac" --release 25 -d target/classes standins/*.java
