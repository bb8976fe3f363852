package org.rattanport.connectors.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.kernel.gateway.ResponseHead;

/** Checks how responses to callers are framed. */
final class NettyCallerExchangeTest {
    private final EmbeddedChannel mEmbedded = new EmbeddedChannel(new HttpServerCodec());
    private final HttpChannel mChannel = new HttpChannel(mEmbedded);
    private final NettyCallerExchange mExchange =
            new NettyCallerExchange(mChannel, false, false, true);

    NettyCallerExchangeTest() {
        mEmbedded.pipeline().addLast(mChannel);
    }

    private static ResponseHead responseHead(boolean isCloseDelimited) {
        return new ResponseHead(
                200,
                List.of(),
                Optional.empty(),
                true,
                false,
                false,
                isCloseDelimited,
                Optional.empty(),
                Optional.empty());
    }

    private String sentBytes() {
        StringBuilder text = new StringBuilder();
        for (Object each = mEmbedded.readOutbound(); each != null; ) {
            if (each instanceof ByteBuf bytes) {
                text.append(bytes.toString(StandardCharsets.US_ASCII));
            }
            each = mEmbedded.readOutbound();
        }
        return text.toString().toLowerCase(Locale.ROOT);
    }

    private String sendResponse(boolean isCloseDelimited, OptionalInt length) {
        mExchange.startResponse(responseHead(isCloseDelimited), length);
        mExchange.write("body".getBytes(StandardCharsets.US_ASCII));
        mExchange.finish();
        return sentBytes();
    }

    @Nested
    final class WithContentLength {
        @Test
        void shouldKeepTheConnectionOpen() {
            assertThat(sendResponse(false, OptionalInt.of(4))).contains("content-length: 4\r\n");
            assertThat(mExchange.closesConnection()).isFalse();
        }
    }

    @Nested
    final class ChunkedEncoding {
        @Test
        void shouldKeepTheConnectionOpen() {
            assertThat(sendResponse(false, OptionalInt.empty())).contains("4\r\nbody\r\n0\r\n");
            assertThat(mExchange.closesConnection()).isFalse();
        }
    }

    @Nested
    final class DelimitedByConnectionClose {
        @Test
        void shouldSendNeitherContentLengthNorChunks() {
            String sent = sendResponse(true, OptionalInt.of(4));
            assertThat(sent).doesNotContain("content-length");
            assertThat(sent).doesNotContain("chunked");
            assertThat(sent).contains("connection: close\r\n");
            assertThat(sent).endsWith("\r\n\r\nbody");
            assertThat(mExchange.closesConnection()).isTrue();
        }
    }
}
