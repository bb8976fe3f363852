package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When connections stop to read ahead of their tasks. */
final class ReceiveMemoryTest {
    private static final int MAX_BYTES = 1024 * 1024;

    private final ReceiveMemory mMemory = new ReceiveMemory(MAX_BYTES);

    /** A connection with the beginning of a response of unknown length. */
    private final class Connection {
        private final EmbeddedChannel mEmbedded = new EmbeddedChannel(new HttpResponseDecoder());
        private final HttpChannel mChannel = new HttpChannel(mEmbedded, mMemory);

        Connection() {
            mEmbedded.pipeline().addLast(mChannel);
            receive("HTTP/1.1 200 OK\r\n\r\n");
            mChannel.poll(Duration.ZERO);
        }

        void receive(String bytes) {
            mEmbedded.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        }

        boolean isReading() {
            return mEmbedded.config().isAutoRead();
        }

        /** Receives until the connection reads no more; returns the number of bytes. */
        int fill(int partBytes) {
            int bytes = 0;
            while (isReading()) {
                receive("x".repeat(partBytes));
                bytes += partBytes;
            }
            return bytes;
        }
    }

    @Nested
    final class OneConnection {
        /** Eight small events stopped the reading as eight large parts did. */
        @Test
        void shouldCountBytesInsteadOfParts() {
            assertThat(new Connection().fill(100)).isAtLeast(100_000);
            assertThat(new Connection().fill(65_536)).isAtMost(ReceiveMemory.MAX_CONNECTION_BYTES);
        }

        @Test
        void shouldReadOnOnceItsTaskHasTakenHalf() {
            Connection connection = new Connection();
            connection.fill(60_000);
            long held = mMemory.takenBytes();
            while (!connection.isReading()) {
                assertThat(connection.mChannel.poll(Duration.ZERO)).isPresent();
            }
            assertThat(mMemory.takenBytes()).isAtMost(ReceiveMemory.MAX_CONNECTION_BYTES / 2);
            assertThat(mMemory.takenBytes()).isAtLeast(held / 4);
        }

        /** What a closed connection held would be missing for ever. */
        @Test
        void shouldReleaseItsMemoryWhenItCloses() {
            Connection connection = new Connection();
            connection.fill(65_536);
            assertThat(mMemory.takenBytes()).isGreaterThan(0L);
            connection.mChannel.close();
            assertThat(mMemory.takenBytes()).isEqualTo(0);
            connection.mChannel.poll(Duration.ZERO);
            assertThat(mMemory.takenBytes()).isEqualTo(0);
        }
    }

    @Nested
    final class ManyConnections {
        private static final int CONNECTIONS = 200;

        /** Nothing bounded what slow readers held together. */
        @Test
        void shouldHoldNoMoreThanTheBoundAndAShareOfEach() {
            for (int i = 0; i < CONNECTIONS; i++) {
                new Connection().fill(4_096);
            }
            long share = ReceiveMemory.MIN_CONNECTION_BYTES + 2 * 4_096;
            assertThat(mMemory.takenBytes())
                    .isAtMost(MAX_BYTES + ReceiveMemory.MAX_CONNECTION_BYTES + CONNECTIONS * share);
        }

        /** A connection whose task reads must not wait for those whose tasks do not. */
        @Test
        void shouldLeaveEachOneAShare() {
            for (int i = 0; i < CONNECTIONS; i++) {
                new Connection().fill(4_096);
            }
            Connection quick = new Connection();
            for (int i = 0; i < 1_000; i++) {
                assertThat(quick.isReading()).isTrue();
                quick.receive("x".repeat(4_096));
                assertThat(quick.mChannel.poll(Duration.ZERO)).isPresent();
            }
        }
    }
}
