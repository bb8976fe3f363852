package org.rattanport.connectors.http;

import io.netty.handler.codec.http.HttpMessage;

/** A part of an HTTP message, as it arrives on a connection. */
public sealed interface HttpMessagePart {
    /** Memory of a part without its content; the objects of a small part take about as much. */
    int PART_BYTES = 128;

    /** Memory that the part takes, about. */
    default int heldBytes() {
        return PART_BYTES;
    }

    /** Start line and headers. */
    record Head(HttpMessage message) implements HttpMessagePart {
        @Override
        public int heldBytes() {
            int bytes = PART_BYTES;
            var headers = message.headers().iteratorCharSequence();
            while (headers.hasNext()) {
                var header = headers.next();
                bytes += PART_BYTES + header.getKey().length() + header.getValue().length();
            }
            return bytes;
        }
    }

    /** Some bytes of a body. */
    record BodyChunk(byte[] bytes) implements HttpMessagePart {
        @Override
        public int heldBytes() {
            return PART_BYTES + bytes.length;
        }
    }

    /** The end of a complete message. */
    record End() implements HttpMessagePart {}

    /** The body violates HTTP framing, and nothing after it can be read. */
    record Malformed(String reason) implements HttpMessagePart {}

    /** The connection is closed; a message that has not ended is incomplete. */
    record Closed(boolean isBroken, String reason) implements HttpMessagePart {}
}
