#!/usr/bin/env bash
# Builds the gateway into target/: the jars, and a runtime of its own that holds just the modules it needs.
set -euo pipefail
cd "$(dirname "$0")/.."
. config/java-home.sh
mvn -B -ntp -q -DskipTests -pl platform -am package
rm -rf target/lib target/jre
mkdir -p target/lib
cp platform/target/lib/*.jar platform/target/platform-*.jar target/lib/
"$JAVA_HOME/bin/jlink" --output target/jre --strip-debug --no-header-files --no-man-pages \
    --add-modules java.base,java.logging,java.naming,java.management,java.xml,java.desktop,jdk.unsupported,jdk.net
target/jre/bin/java -XX:+UseSerialGC -XX:+UseCompactObjectHeaders -Xshare:dump >/dev/null 2>&1
