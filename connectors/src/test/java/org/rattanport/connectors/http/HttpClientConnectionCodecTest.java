package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which bytes the codec takes for responses. */
final class HttpClientConnectionCodecTest {
    /** What the codec made of some bytes. */
    private record Decoded(List<HttpObject> objects) {
        boolean isFailure() {
            return objects.stream().anyMatch(each -> each.decoderResult().isFailure());
        }

        /** Whether the bytes are, or begin with, a whole response. */
        boolean isWhole() {
            return !isFailure() && objects.stream().anyMatch(LastHttpContent.class::isInstance);
        }

        List<String> heads() {
            return objects.stream()
                    .filter(HttpResponse.class::isInstance)
                    .map(HttpResponse.class::cast)
                    .map(each -> each.status().code() + " " + each.headers().entries())
                    .toList();
        }

        String body() {
            return objects.stream()
                    .filter(HttpContent.class::isInstance)
                    .map(HttpContent.class::cast)
                    .map(each -> each.content().toString(StandardCharsets.ISO_8859_1))
                    .collect(Collectors.joining());
        }
    }

    /** Decodes bytes that arrive in these pieces. */
    private static Decoded decode(String... pieces) {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new HttpClientConnectionCodec(
                                new HttpDecoderConfig().setValidateHeaders(false)));
        for (String each : pieces) {
            channel.writeInbound(Unpooled.copiedBuffer(each, StandardCharsets.ISO_8859_1));
        }
        return new Decoded(
                Stream.generate(() -> (HttpObject) channel.readInbound())
                        .takeWhile(each -> each != null)
                        .toList());
    }

    private static String[] bytes(String text) {
        return text.split("");
    }

    @Nested
    final class Pieces {
        private static final String FIRST =
                "HTTP/1.1 200 OK\r\nX-A: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\na b: \r\n2;a=b\r\n \u0000\r\n0;a=b\r\nX-C: c\r\nX-D:\r\n\r\n";
        private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        private static final String SECOND =
                "HTTP/1.1 404 Not Found\r\nX-B:\r\nContent-Length: 4\r\n\r\n\u0000 :c";
        private static final String RESPONSES = FIRST + INTERIM + SECOND;
        private static final String INVALID_HEAD =
                FIRST + "HTTP/1.1 200 OK\r\nX-A: a\r\nX B: b\r\nContent-Length: 4\r\n\r\nbody";
        private static final String INVALID_TRAILER = FIRST.replace("X-D", "X D") + SECOND;

        private static void check(String... pieces) {
            Decoded decoded = decode(pieces);
            assertThat(decoded.isFailure()).isFalse();
            assertThat(decoded.heads())
                    .containsExactly(
                            "200 [X-A=a, Transfer-Encoding=chunked]",
                            "103 [Link=</a>]",
                            "404 [X-B=, Content-Length=4]")
                    .inOrder();
            assertThat(decoded.body()).isEqualTo("a b:  \u0000\u0000 :c");
        }

        private static void checkInvalid(String... pieces) {
            Decoded decoded = decode(pieces);
            assertThat(decoded.isFailure()).isTrue();
            assertThat(decoded.heads()).doesNotContain("404 [X-B=, Content-Length=4]");
            assertThat(decoded.body()).isEqualTo("a b:  \u0000");
        }

        private static void checkInvalidInAnyPieces(String text) {
            IntStream.range(0, text.length())
                    .forEach(at -> checkInvalid(text.substring(0, at), text.substring(at)));
            checkInvalid(bytes(text));
        }

        @Test
        void shouldNotChangeTheResponses() {
            IntStream.range(0, RESPONSES.length())
                    .forEach(at -> check(RESPONSES.substring(0, at), RESPONSES.substring(at)));
            check(bytes(RESPONSES));
        }

        @Test
        void shouldNotHideAnInvalidName() {
            checkInvalidInAnyPieces(INVALID_HEAD);
        }

        @Test
        void shouldNotHideAnInvalidNameInATrailer() {
            checkInvalidInAnyPieces(INVALID_TRAILER);
        }
    }

    @Nested
    final class BrokenChunks {
        private static final String BEGINNING =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n";

        private static String cause(String... pieces) {
            return decode(pieces).objects().stream()
                    .map(each -> each.decoderResult().cause())
                    .filter(Objects::nonNull)
                    .map(Throwable::getMessage)
                    .collect(Collectors.joining());
        }

        @Test
        void shouldHaveTheCauseThatTheDecoderFound() {
            assertThat(cause(BEGINNING + "5 x\r\n\u0000bcde\r\n0\r\n\r\n"))
                    .isEqualTo("Invalid character in chunk size");
        }

        @Test
        void shouldHaveTheInvalidTrailerForACause() {
            assertThat(cause(BEGINNING + "0\r\nX A: a\r\n\r\n"))
                    .isEqualTo("a byte behind a chunk is not HTTP");
        }
    }

    /** The grammar of RFC 9112, without folded lines and with empty lines before a head. */
    @Nested
    final class Grammar {
        private static final int CASES = 50_000;
        private static final int MAX_INSERTED = 3;
        private static final String INSERTED =
                "a: \t\r\n\u0000\u0001\u000b\u000c\u001c\u001f\u007f\u0080\u00a0\u00ff(\"/-_,;";

        private static final String TEXT = "[\t -~\u0080-\u00ff]";
        private static final String FIELDS = "([!#$%&'*+.^_`|~0-9A-Za-z-]+:" + TEXT + "*\r\n)*\r\n";

        private static String insertBytes(Random random, String text) {
            StringBuilder result = new StringBuilder(text);
            for (int count = 1 + random.nextInt(MAX_INSERTED); count > 0; count--) {
                char inserted = INSERTED.charAt(random.nextInt(INSERTED.length()));
                result.insert(random.nextInt(text.length()), inserted);
            }
            return result.toString();
        }

        /**
         * Decodes responses with random bytes in their end. The inserted bytes may end the response
         * early, so that the grammar need not match all of it.
         */
        private static void check(String beginning, String end, String grammar) {
            Pattern pattern = Pattern.compile(grammar);
            Random random = new Random(47);
            List<String> accepted =
                    Stream.generate(() -> insertBytes(random, end))
                            .limit(CASES)
                            .filter(each -> decode(beginning + each).isWhole())
                            .toList();
            assertThat(accepted).isNotEmpty();
            accepted.forEach(
                    each ->
                            assertWithMessage("%s", List.of(bytes(each)))
                                    .that(pattern.matcher(each).lookingAt())
                                    .isTrue());
        }

        @Test
        void shouldHoldForHeads() {
            check(
                    "",
                    "HTTP/1.1 200 OK\r\nX-A: a\r\nContent-Length: 0\r\nB:b\r\n\r\n",
                    "[\r\n]*" + TEXT + "+\r\n" + FIELDS);
        }

        @Test
        void shouldHoldForTrailers() {
            check(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
                    "X-A: a\r\nB:b\r\n\r\n",
                    FIELDS);
        }
    }
}
