package org.rattanport.standins.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An engine that crashes and restarts at its former address. */
final class EngineRestartTest {
    private final EngineStandIn mEngine =
            new EngineStandIn("engine", "model", EngineProfile.defaults(1), false);
    private final InetSocketAddress mAddress =
            new InetSocketAddress(
                    InetAddress.getLoopbackAddress(),
                    Integer.parseInt(mEngine.address().split(":")[1]));

    @AfterEach
    void close() {
        mEngine.close();
    }

    @Nested
    final class CrashedEngine {
        @Test
        void shouldKeepItsPortFromOthers() throws Exception {
            mEngine.crash();
            try (Socket other = new Socket()) {
                other.setReuseAddress(false);
                assertThrows(BindException.class, () -> other.bind(mAddress));
            }
        }

        @Test
        void shouldRefuseConnections() throws Exception {
            mEngine.crash();
            try (Socket caller = new Socket()) {
                assertThrows(ConnectException.class, () -> caller.connect(mAddress));
            }
        }

        @Test
        void shouldListenAgainAfterItsRestart() throws Exception {
            for (int i = 0; i < 5; i++) {
                mEngine.crash();
                mEngine.restart();
                try (Socket caller = new Socket()) {
                    caller.connect(mAddress);
                    assertThat(caller.isConnected()).isTrue();
                }
            }
        }
    }
}
