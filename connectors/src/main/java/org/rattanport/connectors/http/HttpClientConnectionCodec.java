package org.rattanport.connectors.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Encodes the requests of a connection, one at a time, and decodes the responses. Netty's own codec
 * takes any number for a status, such as {@code 000} or {@code +200}, and drops its text.
 */
final class HttpClientConnectionCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** Responses to HEAD requests have a length, but no body. */
    private boolean mIsHeadRequest;

    HttpClientConnectionCodec(HttpDecoderConfig config) {
        init(new Decoder(config), new Encoder());
    }

    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) throws Exception {
            mIsHeadRequest = request.method().equals(HttpMethod.HEAD);
            super.encodeInitialLine(buffer, request);
        }
    }

    private final class Decoder extends HttpResponseDecoder {
        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            if (!ResponseHeadReader.isStatus(initialLine[1])) {
                throw new IllegalArgumentException("not a status: " + initialLine[1]);
            }
            return super.createMessage(initialLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return mIsHeadRequest || super.isContentAlwaysEmpty(message);
        }
    }
}
