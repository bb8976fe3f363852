import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** The start line and the headers of a message. */
    record Head(String startLine, List<String[]> headers) {
        String header(String name) {
            for (String[] each : headers) {
                if (each[0].equalsIgnoreCase(name)) {
                    return each[1];
                }
            }
            return "";
        }

        boolean has(String name) {
            return headers.stream().anyMatch(each -> each[0].equalsIgnoreCase(name));
        }

        String word(int index) {
            String[] words = startLine.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        String method() {
            return word(0);
        }

        String target() {
            return word(1);
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        boolean isChunked() {
            return header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked");
        }
    }

    /** Reads a head; null at the orderly end of the connection before its first byte. */
    static Head readHead(InputStream input) throws IOException {
        String start = readLine(input);
        if (start == null) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        while (true) {
            String line = readLine(input);
            if (line == null) {
                throw new EOFException("the connection ended inside a head");
            }
            if (line.isEmpty()) {
                return new Head(start, headers);
            }
            int colon = line.indexOf(':');
            headers.add(
                    new String[] {line.substring(0, colon).strip(), line.substring(colon + 1).strip()});
        }
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int value = input.read();
            if (value < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a line");
            }
            if (value == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(value);
        }
    }

    /** Reads the body of a request, which has a length, chunks or none. */
    static byte[] readRequestBody(Head head, InputStream input) throws IOException {
        if (head.isChunked()) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            readChunks(input, body);
            return body.toByteArray();
        }
        int length = head.has("Content-Length") ? Integer.parseInt(head.header("Content-Length")) : 0;
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended inside a body");
        }
        return body;
    }

    static void readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(input);
            if (size == null) {
                throw new EOFException("the connection ended before the last chunk");
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            byte[] chunk = input.readNBytes(length);
            body.writeBytes(chunk);
            if (chunk.length < length) {
                throw new EOFException("the connection ended inside a chunk");
            }
            String end = readLine(input);
            if (end == null) {
                throw new EOFException("the connection ended inside a chunk");
            }
            if (length == 0) {
                return;
            }
        }
    }

    static InputStream buffered(InputStream input) {
        return new BufferedInputStream(input, 16_384);
    }
}
