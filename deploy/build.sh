#!/usr/bin/env bash
# Builds the gateway into target/: the jar, a Java runtime with only the required modules, and a
# class data archive of the classes that a gateway loads while a training load sends requests to it
# over loopback.
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

# The archive only shortens the start; the gateway also runs without it. TrainingLoad tells when the
# other gateways, with which the recorded one exchanges messages, start and stop.
training="$PWD/target/training"
rm -rf "$training"
mkdir -p "$training"
gateway=(-jar target/lib/gateway.jar gateway --settings)
"$JAVA_HOME/bin/java" -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp "target/lib/*:platform/target/test-classes" org.rattanport.platform.standin.TrainingLoad "$training" >"$training/load.log" 2>&1 &
load=$!
for _ in $(seq 100); do [ -e "$training/settings-are-written" ] && break; sleep 0.1; done
target/jre/bin/java $options "${gateway[@]}" "$training/first-peer.conf" >"$training/first-peer.log" 2>&1 &
coordinator=$!
target/jre/bin/java $options "${gateway[@]}" "$training/helper.conf" >"$training/helper.log" 2>&1 &
helper=$!
target/jre/bin/java $options -XX:DumpLoadedClassList="$training/classes.list" \
    "${gateway[@]}" "$training/recorded.conf" --metrics-port 28524 >"$training/recorded.log" 2>&1 &
recorded=$!
for _ in $(seq 400); do
    [ -e "$training/coordinator-may-stop" ] && break
    kill -0 "$load" 2>/dev/null || break
    sleep 0.1
done
kill -TERM "$coordinator" 2>/dev/null || true
wait "$load" || echo "the training load failed; see $training" >&2
kill -TERM "$recorded" "$helper" 2>/dev/null || true
wait "$recorded" "$helper" "$coordinator" || true

# Only G1 archives heap objects, without which the classes would not be linked in the archive; the
# serial collector of the gateway loads them.
target/jre/bin/java ${options/-XX:+UseSerialGC/-XX:+UseG1GC} -Xshare:dump -XX:+AOTClassLinking \
    -XX:SharedClassListFile="$training/classes.list" -XX:SharedArchiveFile=target/gateway.jsa \
    -cp target/lib/gateway.jar >"$training/archive.log" 2>&1 || cat "$training/archive.log" >&2
