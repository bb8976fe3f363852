package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;

/** Which parts a task reads from a connection. */
final class HttpChannelTest {
    private final EmbeddedChannel mEmbedded = new EmbeddedChannel(new HttpResponseDecoder());
    private final HttpChannel mChannel = new HttpChannel(mEmbedded);

    HttpChannelTest() {
        mEmbedded.pipeline().addLast(mChannel);
    }

    private void receive(String bytes) {
        mEmbedded.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    private List<HttpMessagePart> readToTheEnd() {
        List<HttpMessagePart> parts = new ArrayList<>();
        for (Optional<HttpMessagePart> part = mChannel.poll(Duration.ZERO);
                part.isPresent() && !(part.get() instanceof Closed);
                part = mChannel.poll(Duration.ZERO)) {
            parts.add(part.get());
        }
        return parts;
    }

    @Nested
    final class CloseDelimitedBody {
        @Test
        void shouldEndWhenTheOtherSideEndsItsOutput() {
            receive("HTTP/1.1 200 OK\r\n\r\nbody");
            mEmbedded.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            assertThat(readToTheEnd().getLast()).isInstanceOf(End.class);
            assertThat(mEmbedded.isOpen()).isFalse();
        }

        /** A close by this side, as at its stop or after a failed write, ended the body. */
        @Test
        void shouldNotEndWhenThisSideCloses() {
            receive("HTTP/1.1 200 OK\r\n\r\nbody");
            mEmbedded.close();
            assertThat(readToTheEnd().stream().filter(End.class::isInstance).toList()).isEmpty();
            assertThat(mChannel.poll(Duration.ZERO).orElseThrow()).isInstanceOf(Closed.class);
        }
    }

    @Nested
    final class ConnectionThatCloses {
        /** More than the buffers of the system take at once. */
        private static final int RESPONSE_BYTES = 32 * 1024 * 1024;

        /** What the system had not taken when the connection closed was dropped. */
        @Test
        void shouldSendTheWholeResponseFirst() throws Exception {
            try (HttpTransport transport = new HttpTransport()) {
                Channel listener =
                        transport.listen(
                                "127.0.0.1:0",
                                () -> 8_192,
                                channel ->
                                        channel.serveRequests(
                                                () -> Duration.ofSeconds(5),
                                                request -> respond(channel)));
                int port = ((InetSocketAddress) listener.localAddress()).getPort();
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.getOutputStream()
                            .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    byte[] received = socket.getInputStream().readAllBytes();
                    assertThat(received.length).isAtLeast(RESPONSE_BYTES);
                }
            }
        }

        private static boolean respond(HttpChannel channel) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, RESPONSE_BYTES);
            channel.writeAsync(response);
            return false;
        }
    }

    @Nested
    final class FramedBody {
        @Test
        void shouldEndWithItsLastByte() {
            receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
            assertThat(readToTheEnd().getLast()).isInstanceOf(End.class);
        }
    }

    @Nested
    final class BlockedWrite {
        /** A connection that says in turn whether it takes more. */
        private static final class ScriptedChannel extends EmbeddedChannel {
            private final Deque<Boolean> mWritable = new ArrayDeque<>();

            @Override
            public boolean isWritable() {
                return mWritable.isEmpty() ? super.isWritable() : mWritable.removeFirst();
            }
        }

        /**
         * A caller that read on was taken for one that had stopped, and its response broke off: the
         * event loop takes a queued write out of the count of pending bytes before it adds it to
         * the buffer, so the connection may be writable for that moment only.
         */
        @Test
        void shouldSucceedOnceTheConnectionWasWritable() {
            ScriptedChannel scripted = new ScriptedChannel();
            HttpChannel channel = new HttpChannel(scripted);
            scripted.mWritable.addAll(List.of(false, true, false));
            assertThat(channel.write(LastHttpContent.EMPTY_LAST_CONTENT, Duration.ofSeconds(5)))
                    .isTrue();
        }
    }

    @Nested
    final class EndOfItsRequests {
        private final EmbeddedChannel mServerEnd = new EmbeddedChannel(new HttpRequestDecoder());
        private final HttpChannel mServer = new HttpChannel(mServerEnd);
        private final List<String> mServed = new ArrayList<>();

        EndOfItsRequests() {
            mServerEnd.pipeline().addLast(mServer);
        }

        private void receive(String bytes) {
            mServerEnd.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        }

        private void serveRequests() {
            mServer.serveRequests(
                    () -> Duration.ZERO,
                    request -> {
                        mServed.add(request.uri());
                        return true;
                    });
        }

        /** The task resumed reading whenever its queue was short. */
        @Test
        void shouldKeepTheChannelFromReading() {
            mServer.endRequests();
            assertThat(mServer.poll(Duration.ZERO)).isPresent();
            assertThat(mServer.poll(Duration.ZERO)).isEmpty();
            assertThat(mServerEnd.config().isAutoRead()).isFalse();
        }

        @Test
        void shouldServeWhatWasReadBefore() {
            receive("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
            mServer.endRequests();
            receive("GET /c HTTP/1.1\r\n\r\n");
            assertThat(mServer.awaitServed(Duration.ZERO)).isFalse();
            serveRequests();
            assertThat(mServed).containsExactly("/a", "/b").inOrder();
            assertThat(mServer.awaitServed(Duration.ZERO)).isTrue();
        }

        @Test
        void shouldLetARequestArriveThatHasBegun() {
            receive("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx");
            mServer.endRequests();
            assertThat(mServerEnd.config().isAutoRead()).isTrue();
            receive("yGET /b HTTP/1.1\r\n\r\n");
            assertThat(mServerEnd.config().isAutoRead()).isFalse();
            serveRequests();
            assertThat(mServed).containsExactly("/a");
        }
    }
}
