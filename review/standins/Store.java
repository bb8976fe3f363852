import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: tables of rows, reads, long polls for changes, and transactions. */
final class Store {
    private record Row(String table, String key, String value, long version) {
        String json() {
            String rest = value == null ? "\"removed\":true" : "\"value\":\"" + value + "\"";
            return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"ver\":"
                    + version + "," + rest + "}";
        }
    }

    private static final Pattern WRITE =
            Pattern.compile(
                    "\\{\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\","
                            + "\"value\":\"([^\"]*)\"\\}");

    private final ServerSocket mServer;
    private final Map<String, TreeMap<String, Row>> mTables = new HashMap<>();
    private long mVersion = 1;

    Store(InetAddress address) throws IOException {
        mServer = new ServerSocket(0, 256, address);
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    /** Writes a row; the return is the acknowledgement. */
    synchronized long put(String table, String key, String json) {
        return store(
                table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized long remove(String table, String key) {
        return store(table, key, null);
    }

    private long store(String table, String key, String value) {
        mVersion++;
        mTables.computeIfAbsent(table, name -> new TreeMap<>())
                .put(key, new Row(table, key, value, mVersion));
        notifyAll();
        return mVersion;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mServer.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var input = Http.buffered(socket.getInputStream());
            for (Http.Head head = Http.readHead(input); head != null; head = Http.readHead(input)) {
                byte[] body = Http.readRequestBody(head, input);
                Thread.sleep(4);
                byte[] answer = answer(head, new String(body, StandardCharsets.UTF_8))
                        .getBytes(StandardCharsets.UTF_8);
                String status = answer.length == 0 ? "404 Not Found" : "200 OK";
                var output = socket.getOutputStream();
                output.write(
                        ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                                        + answer.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                output.write(answer);
                output.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has closed its connection or was killed.
        }
    }

    private synchronized String answer(Http.Head head, String body) throws InterruptedException {
        String[] parts = head.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String pair : (parts.length > 1 ? parts[1] : "").split("&")) {
            String[] words = pair.split("=", 2);
            if (words.length == 2) {
                query.put(words[0], URLDecoder.decode(words[1], StandardCharsets.UTF_8));
            }
        }
        return switch (parts[0]) {
            case "/api/rows-get" -> get(query);
            case "/api/rows-feed" -> feed(query);
            case "/api/rows-tx" -> transact(body);
            default -> "";
        };
    }

    private String rows(List<Row> rows) {
        return "{\"rows\":[" + String.join(",", rows.stream().map(Row::json).toList())
                + "],\"truncated\":false,\"ver\":" + mVersion + ",\"now_ms\":"
                + System.nanoTime() / 1_000_000 + "}";
    }

    private String get(Map<String, String> query) {
        return rows(
                new ArrayList<>(
                        mTables.getOrDefault(query.getOrDefault("table", ""), new TreeMap<>())
                                .tailMap(query.getOrDefault("from", "")).values().stream()
                                .filter(row -> row.value() != null)
                                .toList()));
    }

    private String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after_rev"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<Row> changed =
                    mTables.getOrDefault(query.get("table"), new TreeMap<>()).values().stream()
                            .filter(row -> row.version() > after)
                            .sorted((one, other) -> Long.compare(one.version(), other.version()))
                            .toList();
            long millis = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || millis <= 0) {
                return rows(changed);
            }
            wait(millis);
        }
    }

    private String transact(String body) {
        Matcher writes = WRITE.matcher(body.substring(body.indexOf("\"writes\"")));
        while (writes.find()) {
            store(writes.group(1), writes.group(3), writes.group(4));
        }
        return "{\"ver\":" + mVersion + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
    }
}
