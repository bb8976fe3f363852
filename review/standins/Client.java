import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one connection, as PROTOCOL describes it. */
final class Client implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    /**
     * What came back.
     *
     * @param status status, or 0 if no head came
     * @param body the bytes of the body that came
     * @param isComplete whether the answer is complete by the rules of HTTP/1.1
     * @param end how the answer ended
     */
    record Answer(int status, Http.Head head, byte[] body, boolean isComplete, String end) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String framing() {
            if (head == null) {
                return "none";
            }
            return head.isChunked()
                    ? "chunked"
                    : head.has("Content-Length")
                            ? "length " + head.header("Content-Length")
                            : "no length, ends with its connection";
        }
    }

    private final Socket mSocket = new Socket();
    private final InputStream mInput;

    Client(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        mSocket.connect(
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        mSocket.setTcpNoDelay(true);
        mInput = Http.buffered(mSocket.getInputStream());
    }

    static String newId() {
        return Long.toHexString(IDS.incrementAndGet());
    }

    /** Sends a request; the headers end with a line break each. */
    void send(String method, String path, String id, int deadlineMillis, String headers, byte[] body)
            throws IOException {
        String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Rattanport-Attempt-Id: "
                        + id + "\r\nX-Rattanport-Deadline-Ms: " + deadlineMillis
                        + "\r\nX-Rattanport-Key: " + KEY + "\r\n" + headers
                        + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
                        + "\r\n";
        mSocket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        mSocket.getOutputStream().write(body);
        mSocket.getOutputStream().flush();
    }

    /** Reads the answer; waits that long for each next byte. */
    Answer receive(int timeoutMillis) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Http.Head head = null;
        try {
            mSocket.setSoTimeout(timeoutMillis);
            do {
                head = Http.readHead(mInput);
                if (head == null) {
                    return new Answer(0, null, new byte[0], false, "closed without an answer");
                }
            } while (head.status() < 200);
            if (head.isChunked()) {
                Http.readChunks(mInput, body);
                return new Answer(head.status(), head, body.toByteArray(), true, "last chunk");
            }
            if (head.has("Content-Length")) {
                int length = Integer.parseInt(head.header("Content-Length"));
                copy(body, length);
                if (body.size() < length) {
                    throw new EOFException("the connection ended inside the body");
                }
                return new Answer(head.status(), head, body.toByteArray(), true, "whole length");
            }
            copy(body, Integer.MAX_VALUE);
            return new Answer(head.status(), head, body.toByteArray(), true, "orderly close");
        } catch (IOException e) {
            return new Answer(
                    head == null ? 0 : head.status(), head, body.toByteArray(), false, e.toString());
        }
    }

    private void copy(ByteArrayOutputStream body, int limit) throws IOException {
        byte[] buffer = new byte[8_192];
        while (body.size() < limit) {
            int count = mInput.read(buffer, 0, Math.min(buffer.length, limit - body.size()));
            if (count < 0) {
                return;
            }
            body.write(buffer, 0, count);
        }
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
