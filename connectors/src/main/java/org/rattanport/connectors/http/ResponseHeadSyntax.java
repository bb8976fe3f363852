package org.rattanport.connectors.http;

import io.netty.util.ByteProcessor;

/**
 * Follows the bytes of a response's head up to the empty line that ends it, and stops at the first
 * one that HTTP does not allow there. The name of a header is a token that a colon follows at once;
 * start line and values have no control characters except tabs. Values that go on in another line,
 * which HTTP calls obsolete, are not allowed either. The line of the last chunk of a body and the
 * trailers behind it have the form of a head, too.
 */
final class ResponseHeadSyntax implements ByteProcessor {
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';
    private static final int DELETE = 0x7f;

    /** What a name consists of, besides letters and digits. */
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private Place mPlace = Place.BEFORE_START_LINE;

    /** The place in a head at which the next byte stands. */
    private enum Place {
        /** Empty lines may precede a response, and one follows the data of each chunk. */
        BEFORE_START_LINE {
            @Override
            Place after(byte next) {
                return next == CARRIAGE_RETURN || next == LINE_FEED ? this : TEXT.after(next);
            }
        },
        /** In the start line, or in the value of a header. */
        TEXT {
            @Override
            Place after(byte next) {
                if (next == CARRIAGE_RETURN) {
                    return LINE_END;
                }
                return isText(next) ? TEXT : INVALID;
            }
        },
        /** After the carriage return that ends a line. */
        LINE_END {
            @Override
            Place after(byte next) {
                return next == LINE_FEED ? LINE_START : INVALID;
            }
        },
        LINE_START {
            @Override
            Place after(byte next) {
                if (next == CARRIAGE_RETURN) {
                    return HEAD_END;
                }
                return isToken(next) ? NAME : INVALID;
            }
        },
        NAME {
            @Override
            Place after(byte next) {
                if (next == ':') {
                    return TEXT;
                }
                return isToken(next) ? NAME : INVALID;
            }
        },
        /** After the carriage return that ends the head. */
        HEAD_END {
            @Override
            Place after(byte next) {
                return next == LINE_FEED ? BODY : INVALID;
            }
        },
        /** After the head. */
        BODY {
            @Override
            Place after(byte next) {
                return BODY;
            }
        },
        INVALID {
            @Override
            Place after(byte next) {
                return INVALID;
            }
        };

        abstract Place after(byte next);

        private static boolean isText(byte each) {
            int character = Byte.toUnsignedInt(each);
            return character == '\t' || (character >= ' ' && character != DELETE);
        }

        private static boolean isToken(byte each) {
            return (each >= 'a' && each <= 'z')
                    || (each >= 'A' && each <= 'Z')
                    || (each >= '0' && each <= '9')
                    || TOKEN_PUNCTUATION.indexOf(each) >= 0;
        }
    }

    /** Takes the next byte; returns whether another one of the head may follow. */
    @Override
    public boolean process(byte next) {
        mPlace = mPlace.after(next);
        return mPlace != Place.BODY && mPlace != Place.INVALID;
    }

    /** Whether a byte was taken that cannot stand in a head. */
    boolean isInvalid() {
        return mPlace == Place.INVALID;
    }

    /** Expects the head of another response. */
    void restart() {
        mPlace = Place.BEFORE_START_LINE;
    }
}
