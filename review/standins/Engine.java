import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An engine or a plain service; a handler of the case decides how it answers a request. */
final class Engine {
    /** Answers one request on its connection; returns whether the connection stays open. */
    interface Handler {
        boolean answer(Engine engine, Http.Head head, InputStream input, Socket socket)
                throws IOException, InterruptedException;
    }

    private final ServerSocket mServer;
    private final String mId;
    private final Handler mHandler;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final long mBorn = System.currentTimeMillis();

    /** Creates an engine; with a window other than 0, its link has it and Ethernet's segments. */
    Engine(InetAddress address, String id, int window, Handler handler) throws IOException {
        mId = id;
        mHandler = handler;
        if (window > 0) {
            ServerSocketChannel channel = ServerSocketChannel.open();
            Ethernet.limitSegments(channel);
            mServer = channel.socket();
            mServer.setReceiveBufferSize(window);
        } else {
            mServer = new ServerSocket();
        }
        mServer.bind(new java.net.InetSocketAddress(address, 0), 256);
        Thread.ofVirtual().start(this::accept);
    }

    String id() {
        return mId;
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    String entry(String service, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\""
                + state + "\",\"cold_left_ms\":0,\"sequence\":1,\"born\":" + mBorn + "}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mServer.accept();
                mOpen.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = socket.getInputStream();
            boolean mayContinue = true;
            while (mayContinue) {
                Http.Head head = Http.readHead(input);
                if (head == null) {
                    return;
                }
                if (head.target().startsWith("/api/") || head.target().equals("/healthz")) {
                    Http.readRequestBody(head, input);
                    send(socket, "200 OK", "Content-Type: application/json\r\n", "{\"free\":400000}");
                } else if (!head.header("X-Rattanport-Expect-Instance").equals(mId)) {
                    Http.readRequestBody(head, input);
                    send(socket, "421 Misdirected Request", "", "");
                } else {
                    mayContinue = mHandler.answer(this, head, input, socket);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has closed its connection or was killed.
        } finally {
            mOpen.remove(socket);
        }
    }

    /** The headers that every answer to a request bears. */
    static String seal(Http.Head head) {
        return "X-Rattanport-Attempt-Id: " + head.header("X-Rattanport-Attempt-Id")
                + "\r\nX-Rattanport-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    }

    static void send(Socket socket, String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        write(
                socket,
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n");
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /** Crashes: the port closes, and all connections are reset. */
    void crash() throws IOException {
        mServer.close();
        for (Socket each : mOpen) {
            reset(each);
        }
    }

    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
