package org.rattanport.connectors.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Encodes the requests of a connection, one at a time, and decodes the responses. Netty's own codec
 * takes any number for a status, such as {@code 000} or {@code +200}, and drops its text. It also
 * drops what stands between a blank in the name of a header and the colon, so that {@code
 * Content-Length x: 3} gives the body a length. Heads are therefore checked before it reads them,
 * and the trailers of chunked bodies after it has found their end.
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
        private final ResponseHeadSyntax mSyntax = new ResponseHeadSyntax();
        private boolean mIsInHead = true;
        private boolean mIsChunked;

        /** Bytes of the head at the beginning of the buffer that were checked, but not decoded. */
        private int mCheckedBytes;

        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
                throws Exception {
            if (mIsInHead && !mSyntax.isInvalid()) {
                checkHead(buffer, out);
            }
            if (mSyntax.isInvalid()) {
                // Where a response that follows would begin is not known.
                buffer.skipBytes(buffer.readableBytes());
                return;
            }
            int start = buffer.readerIndex();
            super.decode(context, buffer, out);
            if (!mIsInHead && mIsChunked) {
                checkTrailers(buffer, start, out);
            }
            mCheckedBytes = buffer.readableBytes();
            if (!out.isEmpty() && !mSyntax.isInvalid()) {
                expectNext(out.getLast());
            }
        }

        private void expectNext(Object decoded) {
            mIsInHead = decoded instanceof LastHttpContent;
            if (decoded instanceof HttpMessage head) {
                mIsChunked = HttpUtil.isTransferEncodingChunked(head);
            }
            mCheckedBytes = 0;
            mSyntax.restart();
        }

        private void checkHead(ByteBuf buffer, List<Object> out) {
            int start = buffer.readerIndex() + mCheckedBytes;
            buffer.forEachByte(start, buffer.writerIndex() - start, mSyntax);
            if (mSyntax.isInvalid()) {
                HttpMessage invalid = createInvalidMessage();
                invalid.setDecoderResult(failure("a byte in the head is not HTTP"));
                out.add(invalid);
            }
        }

        /**
         * Checks the bytes that were decoded since the last data of a chunk. They may be the line
         * of the last chunk and the trailers behind it.
         */
        private void checkTrailers(ByteBuf buffer, int start, List<Object> out) {
            if (!out.stream().allMatch(Decoder::isWholeEnd)) {
                return;
            }
            buffer.forEachByte(start, buffer.readerIndex() - start, mSyntax);
            if (mSyntax.isInvalid()) {
                out.forEach(ReferenceCountUtil::release);
                out.clear();
                LastHttpContent invalid = new DefaultLastHttpContent();
                invalid.setDecoderResult(failure("a byte behind a chunk is not HTTP"));
                out.add(invalid);
            }
        }

        private static boolean isWholeEnd(Object decoded) {
            return decoded instanceof LastHttpContent end && end.decoderResult().isSuccess();
        }

        private static DecoderResult failure(String reason) {
            return DecoderResult.failure(new IllegalArgumentException(reason));
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
