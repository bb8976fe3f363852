package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
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
    final class FramedBody {
        @Test
        void shouldEndWithItsLastByte() {
            receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
            assertThat(readToTheEnd().getLast()).isInstanceOf(End.class);
        }
    }
}
