import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
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

    private final Socket mSocket;
    private final InputStream mInput;
    private final OutputStream mOutput;

    /** Connects over loopback as it is. */
    Client(String address) throws IOException {
        mSocket = new Socket();
        connect(address);
        mInput = Http.buffered(mSocket.getInputStream());
        mOutput = mSocket.getOutputStream();
    }

    /** Connects as over a link with a bandwidth, a window and the segments of Ethernet. */
    Client(String address, long bytesPerSecond, int window) throws IOException {
        SocketChannel channel = SocketChannel.open();
        Ethernet.limitSegments(channel);
        mSocket = channel.socket();
        mSocket.setReceiveBufferSize(window);
        connect(address);
        mInput = Http.buffered(atBandwidth(mSocket.getInputStream(), bytesPerSecond));
        mOutput = mSocket.getOutputStream();
    }

    private void connect(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        mSocket.connect(
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        mSocket.setTcpNoDelay(true);
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
        mOutput.write(head.getBytes(StandardCharsets.US_ASCII));
        mOutput.write(body);
        mOutput.flush();
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

    /** Reads no faster than the bandwidth of the link. */
    private static InputStream atBandwidth(InputStream input, long bytesPerSecond) {
        return new FilterInputStream(input) {
            private long mFreeNanos = System.nanoTime();

            @Override
            public int read(byte[] buffer, int offset, int length) throws IOException {
                int count = super.read(buffer, offset, Math.min(length, 16_384));
                long now = System.nanoTime();
                mFreeNanos = Math.max(mFreeNanos, now) + count * 1_000_000_000L / bytesPerSecond;
                if (mFreeNanos - now > 1_000_000) {
                    try {
                        Thread.sleep((mFreeNanos - now) / 1_000_000);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
                return count;
            }
        };
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
