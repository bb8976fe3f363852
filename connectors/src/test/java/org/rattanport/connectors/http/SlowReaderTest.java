package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What this side holds for another one that does not read. */
final class SlowReaderTest {
    private final HttpTransport mTransport = new HttpTransport();

    @AfterEach
    void close() {
        mTransport.close();
    }

    private static long directBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(each -> each.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }

    private HttpChannel connect(ServerSocket server) {
        return mTransport.connect("127.0.0.1:" + server.getLocalPort(), Duration.ofSeconds(2));
    }

    @Nested
    final class ServerThatDoesNotReadARequest {
        private static final int REQUEST_BYTES = 16 * 1024 * 1024;

        /** What one write may copy: the bytes that the system takes at once, with some room. */
        private static final long MAX_DIRECT_BYTES = 1024 * 1024;

        /** A copy for each write would stay until the process ends, as large as the request. */
        @Test
        void shouldCostNoCopyOfTheRequest() throws Exception {
            try (ServerSocket server = new ServerSocket()) {
                server.setReceiveBufferSize(16_384);
                server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                long before = directBytes();
                HttpChannel channel = connect(server);
                DefaultFullHttpRequest request =
                        new DefaultFullHttpRequest(
                                HttpVersion.HTTP_1_1,
                                HttpMethod.POST,
                                "/",
                                Unpooled.wrappedBuffer(new byte[REQUEST_BYTES]));
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, REQUEST_BYTES);
                channel.writeAsync(request);
                try (Socket accepted = server.accept()) {
                    assertThat(accepted.getInputStream().readNBytes(1_000_000))
                            .hasLength(1_000_000);
                }
                assertThat(directBytes() - before).isLessThan(MAX_DIRECT_BYTES);
                channel.close();
            }
        }
    }
}
