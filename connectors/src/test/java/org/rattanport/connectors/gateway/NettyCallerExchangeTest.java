package org.rattanport.connectors.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.OptionalInt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.ResponseWriter;

/** Checks how responses to callers are framed. */
final class NettyCallerExchangeTest {
    private final EmbeddedChannel mEmbedded = new EmbeddedChannel(new HttpServerCodec());
    private final HttpChannel mChannel = new HttpChannel(mEmbedded);
    private final NettyCallerExchange mExchange =
            new NettyCallerExchange(mChannel, () -> false, false, true);

    NettyCallerExchangeTest() {
        mEmbedded.pipeline().addLast(mChannel);
    }

    private static ResponseHead responseHead(boolean isCloseDelimited) {
        return ResponseHead.builder(200).signed(true).closeDelimited(isCloseDelimited).build();
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
        ResponseWriter response = mExchange.startResponse(responseHead(isCloseDelimited), length);
        response.write("body".getBytes(StandardCharsets.US_ASCII));
        response.finish();
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
    final class CloseDelimitedAtTheBackEnd {
        /** A close-delimited copy looked complete when the process ended inside it. */
        @Test
        void shouldNotBeCloseDelimitedForTheCaller() {
            ResponseWriter response =
                    mExchange.startResponse(responseHead(true), OptionalInt.empty());
            response.write("body".getBytes(StandardCharsets.US_ASCII));
            String sent = sentBytes();
            assertThat(sent).contains("transfer-encoding: chunked\r\n");
            assertThat(sent).endsWith("4\r\nbody\r\n");
            response.finish();
            assertThat(sentBytes()).isEqualTo("0\r\n\r\n");
        }

        @Test
        void shouldHaveALengthWhenItIsKnown() {
            String sent = sendResponse(true, OptionalInt.of(4));
            assertThat(sent).contains("content-length: 4\r\n");
            assertThat(sent).endsWith("\r\n\r\nbody");
            assertThat(mExchange.closesConnection()).isFalse();
        }
    }

    @Nested
    final class StartedResponse {
        /** A second response was written into the body of the first. */
        @Test
        void shouldNotStartAgain() {
            mExchange.startResponse(responseHead(false), OptionalInt.empty());
            sentBytes();
            assertThrows(
                    IllegalStateException.class,
                    () -> mExchange.startResponse(responseHead(false), OptionalInt.of(4)));
            assertThat(sentBytes()).isEmpty();
        }
    }

    @Nested
    final class CallersWithoutChunks {
        private final NettyCallerExchange mOldCaller =
                new NettyCallerExchange(mChannel, () -> true, false, false);

        @Test
        void shouldGetTheResponseWithItsLengthOnceItIsWhole() {
            ResponseWriter response =
                    mOldCaller.startResponse(responseHead(false), OptionalInt.empty());
            response.write("bo".getBytes(StandardCharsets.US_ASCII));
            response.write("dy".getBytes(StandardCharsets.US_ASCII));
            assertThat(sentBytes()).isEmpty();
            response.finish();
            String sent = sentBytes();
            assertThat(sent).contains("content-length: 4\r\n");
            assertThat(sent).endsWith("\r\n\r\nbody");
        }

        @Test
        void shouldGetNothingOfAResponseThatIsTooLongToHold() {
            ResponseWriter response =
                    mOldCaller.startResponse(responseHead(true), OptionalInt.empty());
            assertThrows(
                    RattanportException.class, () -> response.write(new byte[2 * 1024 * 1024]));
            assertThat(sentBytes()).isEmpty();
        }
    }
}
