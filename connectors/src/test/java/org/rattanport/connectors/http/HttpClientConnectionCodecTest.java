package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
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
                        + "5\r\na b: \r\n0\r\n\r\n";
        private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        private static final String SECOND =
                "HTTP/1.1 404 Not Found\r\nX-B:\r\nContent-Length: 4\r\n\r\n\u0000 :c";
        private static final String RESPONSES = FIRST + INTERIM + SECOND;
        private static final String INVALID =
                FIRST + "HTTP/1.1 200 OK\r\nX-A: a\r\nX B: b\r\nContent-Length: 4\r\n\r\nbody";

        private static void check(String... pieces) {
            Decoded decoded = decode(pieces);
            assertThat(decoded.isFailure()).isFalse();
            assertThat(decoded.heads())
                    .containsExactly(
                            "200 [X-A=a, Transfer-Encoding=chunked]",
                            "103 [Link=</a>]",
                            "404 [X-B=, Content-Length=4]")
                    .inOrder();
            assertThat(decoded.body()).isEqualTo("a b: \u0000 :c");
        }

        private static void checkInvalid(String... pieces) {
            Decoded decoded = decode(pieces);
            assertThat(decoded.isFailure()).isTrue();
            assertThat(decoded.body()).isEqualTo("a b: ");
        }

        @Test
        void shouldNotChangeTheResponses() {
            IntStream.range(0, RESPONSES.length())
                    .forEach(at -> check(RESPONSES.substring(0, at), RESPONSES.substring(at)));
            check(bytes(RESPONSES));
        }

        @Test
        void shouldNotHideAnInvalidName() {
            IntStream.range(0, INVALID.length())
                    .forEach(at -> checkInvalid(INVALID.substring(0, at), INVALID.substring(at)));
            checkInvalid(bytes(INVALID));
        }
    }

    @Nested
    final class Heads {
        private static final int CASES = 50_000;
        private static final int MAX_INSERTED = 3;
        private static final String VALID_HEAD =
                "HTTP/1.1 200 OK\r\nX-A: a\r\nContent-Length: 0\r\nB:b\r\n\r\n";
        private static final String INSERTED =
                "a: \t\r\n\u0000\u0001\u000b\u000c\u001c\u001f\u007f\u0080\u00a0\u00ff(\"/-_,;";

        /** The grammar of RFC 9112, without folded lines and with empty lines before it. */
        private static final Pattern GRAMMAR =
                Pattern.compile(
                        "[\r\n]*[\t -~\u0080-\u00ff]+\r\n"
                                + "([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\u0080-\u00ff]*\r\n)*\r\n");

        private static String insertBytes(Random random) {
            StringBuilder head = new StringBuilder(VALID_HEAD);
            for (int count = 1 + random.nextInt(MAX_INSERTED); count > 0; count--) {
                char inserted = INSERTED.charAt(random.nextInt(INSERTED.length()));
                head.insert(random.nextInt(VALID_HEAD.length()), inserted);
            }
            return head.toString();
        }

        /** The end of the head may move to the front, so that a part of the bytes is one. */
        private static boolean beginsWithAHead(String text) {
            return GRAMMAR.matcher(text).lookingAt();
        }

        @Test
        void shouldFollowTheGrammar() {
            Random random = new Random(47);
            List<String> accepted =
                    Stream.generate(() -> insertBytes(random))
                            .limit(CASES)
                            .filter(head -> !decode(head).isFailure())
                            .filter(head -> !decode(head).heads().isEmpty())
                            .toList();
            assertThat(accepted).isNotEmpty();
            accepted.forEach(
                    head ->
                            assertWithMessage("%s", List.of(bytes(head)))
                                    .that(beginsWithAHead(head))
                                    .isTrue());
        }
    }
}
