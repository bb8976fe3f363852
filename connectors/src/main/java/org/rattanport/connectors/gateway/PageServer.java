package org.rattanport.connectors.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanport.connectors.gateway.HttpMessagePart.Closed;
import org.rattanport.connectors.gateway.HttpMessagePart.Head;

/** Serves short pages of the instance itself, one task for each connection. */
public final class PageServer {
    private static final int HEADER_BYTES = 8_192;
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(30);

    /** A page that is read whole. */
    public record Page(int status, String contentType, String text) {}

    /** Answers reads of pages. */
    @FunctionalInterface
    public interface Pages {
        /** Returns the page, if there is one of that path. */
        Optional<Page> page(String path, Map<String, List<String>> query);
    }

    private final Pages mPages;

    public PageServer(HttpTransport transport, String address, Pages pages) {
        mPages = pages;
        transport.listen(address, () -> HEADER_BYTES, this::run);
    }

    private void run(HttpChannel channel) {
        try {
            while (true) {
                Optional<HttpMessagePart> part = channel.take(IDLE_LIMIT);
                if (part.isEmpty() || part.get() instanceof Closed) {
                    return;
                }
                if (part.get() instanceof Head head
                        && head.message() instanceof HttpRequest request) {
                    answer(channel, request);
                }
            }
        } finally {
            channel.close();
        }
    }

    private void answer(HttpChannel channel, HttpRequest request) {
        QueryStringDecoder target = new QueryStringDecoder(request.uri());
        Page page =
                mPages.page(target.path(), target.parameters())
                        .orElse(new Page(404, "text/plain", "no such page\n"));
        byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(page.status()),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        boolean isLast = !HttpUtil.isKeepAlive(request);
        if (isLast) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        var written = channel.writeLast(response);
        if (isLast) {
            written.addListener(io.netty.channel.ChannelFutureListener.CLOSE);
        }
    }
}
