package org.rattanport.connectors.http;

import io.netty.handler.codec.http.HttpMessage;

/** A part of an HTTP message, as it arrives on a connection. */
public sealed interface HttpMessagePart {
    /** Start line and headers. */
    record Head(HttpMessage message) implements HttpMessagePart {}

    /** Some bytes of a body. */
    record BodyChunk(byte[] bytes) implements HttpMessagePart {}

    /** The end of a complete message. */
    record End() implements HttpMessagePart {}

    /** The body violates HTTP framing, and nothing after it can be read. */
    record Malformed(String reason) implements HttpMessagePart {}

    /** The connection is closed; a message that has not ended is incomplete. */
    record Closed(boolean isBroken, String reason) implements HttpMessagePart {}
}
