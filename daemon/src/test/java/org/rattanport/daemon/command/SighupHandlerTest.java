package org.rattanport.daemon.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.daemon.Logging;
import sun.misc.Signal;

/**
 * Signals that arrive while a process starts, and later. A process inherits whether the signal is
 * ignored, so each case runs in a process of its own that is started the one way or the other.
 */
final class SighupHandlerTest {
    private static final int MAX_WAIT_SECONDS = 20;

    /** Starts the rest of its arguments with the signal handled in the default way. */
    private static final List<String> DEFAULT_SIGNAL = List.of("env", "--default-signal=HUP");

    /** Starts the rest of its arguments as {@code nohup} does. */
    private static final List<String> IGNORED_SIGNAL =
            List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");

    /** Receives a signal before it has registered its action, and one after that. */
    static final class SignalledProgram {
        private SignalledProgram() {}

        public static void main(String[] arguments) throws InterruptedException {
            Semaphore reloads = new Semaphore(0);
            SighupHandler.install();
            Logging.configure(System.out, "INFO");
            Signal.raise(new Signal("HUP"));
            // Signals are delivered by a thread of their own.
            TimeUnit.MILLISECONDS.sleep(200);
            SighupHandler.register(reloads::release);
            int maxWaitSeconds = Integer.parseInt(arguments[0]);
            int received = receive(reloads, maxWaitSeconds);
            Signal.raise(new Signal("HUP"));
            received += receive(reloads, maxWaitSeconds);
            Logging.close();
            System.out.println("received=" + received);
        }

        private static int receive(Semaphore reloads, int maxWaitSeconds)
                throws InterruptedException {
            return reloads.tryAcquire(maxWaitSeconds, TimeUnit.SECONDS) ? 1 : 0;
        }
    }

    /** Runs the program to its end, and returns its output. */
    private static List<String> run(List<String> starter, int maxWaitSeconds)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(starter);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(SignalledProgram.class.getName());
        command.add(Integer.toString(maxWaitSeconds));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            List<String> lines = process.inputReader().lines().toList();
            assertThat(process.waitFor(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            return lines;
        } finally {
            process.destroyForcibly();
        }
    }

    private static long countUnavailable(List<String> lines) {
        return lines.stream()
                .filter(line -> line.contains("event=reload-signal-unavailable signal=HUP"))
                .count();
    }

    @Nested
    final class SignalDuringTheStart {
        /** The signal ended a process that had not yet registered its action. */
        @Test
        void shouldBeHandledOnceTheActionIsRegistered() throws Exception {
            List<String> lines = run(DEFAULT_SIGNAL, MAX_WAIT_SECONDS);
            assertThat(lines).contains("received=2");
            assertThat(countUnavailable(lines)).isEqualTo(0);
        }
    }

    @Nested
    final class IgnoredSignal {
        /** A process that was started with {@code nohup} never reloaded, and did not say so. */
        @Test
        void shouldBeReportedOnce() throws Exception {
            List<String> lines = run(IGNORED_SIGNAL, 1);
            assertThat(lines).contains("received=0");
            assertThat(countUnavailable(lines)).isEqualTo(1);
        }
    }
}
