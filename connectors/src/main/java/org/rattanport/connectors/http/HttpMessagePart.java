package org.rattanport.connectors.http;

import io.netty.handler.codec.http.HttpMessage;

/** What arrives on a connection, in order. */
public sealed interface HttpMessagePart {
    /** First line and headers. */
    record Head(HttpMessage message) implements HttpMessagePart {}

    /** A piece of a body. */
    record Piece(byte[] bytes) implements HttpMessagePart {}

    /** The complete end of a message. */
    record End() implements HttpMessagePart {}

    /** The body goes on in a way that is no HTTP; nothing more can be read. */
    record Spoilt(String reason) implements HttpMessagePart {}

    /** The connection is over; a broken one leaves no message complete. */
    record Closed(boolean isBroken, String reason) implements HttpMessagePart {}
}
