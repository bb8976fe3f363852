package org.rattanport.daemon.command;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** Signals that arrive while a process starts, and later. */
final class SighupHandlerTest {
    private static final int MAX_WAIT_SECONDS = 20;

    @Nested
    final class SignalDuringTheStart {
        /** The signal ended a process that had not yet registered its action. */
        @Test
        void shouldBeHandledOnceTheActionIsRegistered() throws Exception {
            Semaphore reloads = new Semaphore(0);
            SighupHandler.install();
            Signal.raise(new Signal("HUP"));
            // Signals are delivered by a thread of their own.
            TimeUnit.MILLISECONDS.sleep(200);
            SighupHandler.register(reloads::release);
            assertThat(reloads.tryAcquire(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            Signal.raise(new Signal("HUP"));
            assertThat(reloads.tryAcquire(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }
}
