package org.rattanport.kernel.exchange;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * How a back end frames a response, at which byte it stops, and what it does there. The body is
 * given in parts: each is a chunk if the response is chunked, and an event if it is a stream.
 *
 * @param cut share of the bytes of head and body that are sent, from 0 to 1
 */
public record ResponseScript(Framing framing, End end, double cut) {
    /** How the back end frames its response. */
    public enum Framing {
        LENGTH,
        CHUNKS,
        UNTIL_CLOSE
    }

    /** What the back end does after the last byte that it sends. */
    public enum End {
        CLOSE,
        RESET,
        /** Neither sends nor closes, until the other side closes the connection. */
        SILENCE,
        /** Sends another response right behind a whole one, then closes. */
        SURPLUS
    }

    private static final String HEAD_START = "HTTP/1.1 200 OK\r\n";
    private static final String SURPLUS_RESPONSE = HEAD_START + "Content-Length: 4\r\n\r\nevil";

    /** Every fourth response is whole; cuts are as likely in each part of it. */
    public static ResponseScript random(Random random) {
        Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
        End end = End.values()[random.nextInt(End.values().length)];
        double cut = random.nextInt(4) == 0 ? 1 : random.nextDouble();
        if (end == End.SURPLUS && framing == Framing.UNTIL_CLOSE) {
            // The bytes would belong to the body.
            end = End.CLOSE;
        }
        return new ResponseScript(framing, end, end == End.SURPLUS ? 1 : cut);
    }

    private String framingHeader(List<String> parts) {
        return switch (framing) {
            case LENGTH -> "Content-Length: " + String.join("", parts).length() + "\r\n";
            case CHUNKS -> "Transfer-Encoding: chunked\r\n";
            case UNTIL_CLOSE -> "";
        };
    }

    private String framedBody(List<String> parts) {
        return framing != Framing.CHUNKS
                ? String.join("", parts)
                : parts.stream()
                                .map(
                                        part ->
                                                Integer.toHexString(part.length())
                                                        + "\r\n"
                                                        + part
                                                        + "\r\n")
                                .collect(Collectors.joining())
                        + "0\r\n\r\n";
    }

    /** What follows the status line and the headers that depend on the request. */
    private String rest(List<String> parts) {
        return framingHeader(parts) + "\r\n" + framedBody(parts);
    }

    /** Bytes that are sent, without the headers that depend on the request. */
    private int sentBytes(List<String> parts) {
        return (int) (cut * (HEAD_START.length() + rest(parts).length()));
    }

    public boolean isWhole() {
        return cut == 1;
    }

    /**
     * Whether the end of the connection also ends the body, so that its length cannot tell a cut
     * response from a whole one.
     */
    public boolean isEndedByClose() {
        return framing == Framing.UNTIL_CLOSE && end == End.CLOSE;
    }

    /** Whether an ideal reader knows the response to be whole; a reset may overtake its end. */
    public boolean isCertainlyWhole() {
        boolean hasKnownEnd = end == End.CLOSE || framing != Framing.UNTIL_CLOSE;
        return isWhole() && end != End.RESET && hasKnownEnd;
    }

    /** The sent part of a body that the end of the connection ends; empty in other framings. */
    public String bodyUntilClose(List<String> parts) {
        if (framing != Framing.UNTIL_CLOSE) {
            return "";
        }
        int start = HEAD_START.length() + framingHeader(parts).length() + "\r\n".length();
        int sent = sentBytes(parts) - start;
        return sent < 0 ? "" : String.join("", parts).substring(0, sent);
    }

    /** Whether the whole head is sent. */
    public boolean hasHead(List<String> parts) {
        return sentBytes(parts)
                >= HEAD_START.length() + framingHeader(parts).length() + "\r\n".length();
    }

    /**
     * Responds with this body, up to the cut.
     *
     * @param input what the other side sends after its request
     * @param headers lines of headers that depend on the request
     */
    public void respond(Socket socket, InputStream input, String headers, List<String> parts)
            throws IOException {
        String response = HEAD_START + headers + rest(parts);
        int sent = sentBytes(parts);
        write(
                socket,
                response.substring(
                        0, sent <= HEAD_START.length() ? sent : sent + headers.length()));
        switch (end) {
            case CLOSE -> {}
            case RESET -> socket.setSoLinger(true, 0);
            case SILENCE -> input.read();
            case SURPLUS -> write(socket, SURPLUS_RESPONSE);
        }
        socket.close();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }
}
