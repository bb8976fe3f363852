# Sets JAVA_HOME to a JDK of release 25 or newer, or exits with status 3. Other scripts source it.
java_release() { "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1; }
if [ -z "${JAVA_HOME:-}" ] || [ ! -x "$JAVA_HOME/bin/javac" ] || [ "$(java_release "$JAVA_HOME")" -lt 25 ]; then
    found=""
    for candidate in /usr/lib/jvm/*; do
        [ -x "$candidate/bin/javac" ] || continue
        if [ "$(java_release "$candidate")" -ge 25 ]; then found="$candidate"; fi
    done
    if [ -z "$found" ]; then
        echo "rattanport needs a JDK of release 25 or newer: set JAVA_HOME, or install one below /usr/lib/jvm" >&2
        exit 3
    fi
    export JAVA_HOME="$found"
fi
command -v mvn >/dev/null || { echo "rattanport needs Maven 3.8 or newer on the PATH" >&2; exit 3; }
