#!/usr/bin/env bash
# Builds the gateway into target/: the jar, a Java runtime with only the required modules, and a
# class data archive, which is recorded while a training load sends requests over loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
. config/java-home.sh
mvn -B -ntp -q -DskipTests -pl platform -am package
rm -rf target/lib target/jre target/gateway.jsa
mkdir -p target/lib
cp platform/target/platform-*-gateway.jar target/lib/gateway.jar
"$JAVA_HOME/bin/jlink" --output target/jre --strip-debug --no-header-files --no-man-pages \
    --add-modules java.base,java.logging,java.management,jdk.unsupported,jdk.net
options="$(sed -n 's/^run = "[^ ]* \(.*\) -jar .*/\1/p' deploy/system.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')"
target/jre/bin/java $options -Xshare:dump >/dev/null 2>&1

# The archive only shortens the start; the gateway also runs without it.
settings="$PWD/target/training.conf"
rm -f "$settings"
"$JAVA_HOME/bin/java" -cp "target/lib/*:platform/target/test-classes" \
    org.rattanport.platform.standin.TrainingLoad "$settings" &
load=$!
for _ in $(seq 100); do [ -s "$settings" ] && break; sleep 0.1; done
target/jre/bin/java $options -XX:ArchiveClassesAtExit=target/gateway.jsa \
    -jar target/lib/gateway.jar gateway --settings "$settings" --metrics-port 28524 >target/training.log 2>&1 &
gateway=$!
wait "$load" || echo "the training load failed; see target/training.log" >&2
kill -TERM "$gateway" 2>/dev/null || true
wait "$gateway" || true
