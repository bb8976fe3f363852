import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the scripts of this review share: a store, engines, clients and the start and end of
 * gateways. All listen on loopback addresses.
 */
final class Lab implements AutoCloseable {
    static final String PREFIX = "X-Rattanport-";
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_SECONDS = 112;

    final long startNanos = System.nanoTime();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Path work;
    final Store store;
    final List<Gateway> gateways = new CopyOnWriteArrayList<>();
    private final PrintWriter mRecord;

    /** Opens the record, which lies in the folder of the case; the working folder is temporary. */
    Lab(String record) throws IOException {
        folder = Path.of(record).toAbsolutePath().getParent();
        work = Files.createTempDirectory("review");
        mRecord = new PrintWriter(Files.newBufferedWriter(Path.of(record)));
        store = new Store();
        log("trouble " + hasTrouble);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    gateways.forEach(Gateway::kill);
                                    deleteWork();
                                }));
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.SECONDS.sleep(MAX_SECONDS);
                                log("the case has taken too long");
                                System.exit(2);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void log(String line) {
        synchronized (mRecord) {
            mRecord.printf(Locale.ROOT, "%8.3f %s%n", now(), line);
            mRecord.flush();
        }
    }

    void sleepUntil(double seconds) throws InterruptedException {
        long millis = Math.round((seconds - now()) * 1_000);
        if (millis > 0) {
            TimeUnit.MILLISECONDS.sleep(millis);
        }
    }

    static Thread start(Body body) {
        return Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception e) {
                                // The other side has ended, or the lab closes.
                            }
                        });
    }

    interface Body {
        void run() throws Exception;
    }

    @Override
    public void close() {
        gateways.forEach(Gateway::kill);
        store.http.close();
        mRecord.flush();
        deleteWork();
    }

    private void deleteWork() {
        try (var files = Files.walk(work)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        } catch (IOException e) {
            // The system's temporary folder is cleared by others.
        }
    }

    /** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if it could not run. */
    static void main(String record, Case each) throws IOException {
        int exit;
        try (Lab lab = new Lab(record)) {
            try {
                exit = each.holds(lab) ? 0 : 1;
            } catch (Exception e) {
                lab.log("the case could not run: " + e);
                exit = 2;
            }
            if ("1".equals(System.getenv("KEEP_LOGS"))) {
                for (Gateway gateway : lab.gateways) {
                    Files.copy(
                            lab.work.resolve(gateway.name + ".log"),
                            lab.folder.resolve(gateway.name + ".log"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
            lab.log("exit " + exit);
        }
        System.exit(exit);
    }

    /** Plays a case and says whether the rule held. */
    interface Case {
        boolean holds(Lab lab) throws Exception;
    }

    // ---- HTTP

    /** A request or a response that was read whole. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length == 2) {
                for (String each : parts[1].split("&")) {
                    if (each.startsWith(name + "=")) {
                        return URLDecoder.decode(
                                each.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }
    }

    /** Reads a head; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        while (last != '\n' || !head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            last = in.read();
            if (last < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException();
            }
            head.write(last);
            if (head.size() > MAX_HEAD_BYTES) {
                throw new IOException("head too long");
            }
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                headers.put(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).strip());
            }
        }
        return new Message(lines[0], headers, new byte[0]);
    }

    /** Reads a message whole; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                int size = Integer.parseInt(line(in).strip(), 16);
                body.write(exactly(in, size));
                line(in);
                if (size == 0) {
                    break;
                }
            }
        } else if (!head.header("content-length").isEmpty()) {
            body.write(exactly(in, Integer.parseInt(head.header("content-length"))));
        }
        return new Message(head.first(), head.headers(), body.toByteArray());
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException();
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int each = in.read();
        while (each != '\n') {
            if (each < 0) {
                throw new EOFException();
            }
            text.append((char) each);
            each = in.read();
        }
        return text.toString();
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Handles one request of a connection; a thrown exception resets the connection. */
    interface Handler {
        void handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** A server with a thread for each connection. */
    static final class Http implements AutoCloseable {
        final ServerSocket listener;
        private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();

        Http(String ip, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, port), 512);
            start(
                    () -> {
                        while (true) {
                            Socket socket = listener.accept();
                            mOpen.add(socket);
                            start(() -> serve(socket, handler));
                        }
                    });
        }

        private void serve(Socket socket, Handler handler) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message each = read(in); each != null; each = read(in)) {
                    handler.handle(each, out, socket);
                }
            } catch (Exception e) {
                socket.setSoLinger(true, 0);
            } finally {
                mOpen.remove(socket);
            }
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** Ends as a killed process does: with resets. */
        void crash() {
            close();
        }

        @Override
        public void close() {
            try {
                listener.close();
                for (Socket each : mOpen) {
                    each.setSoLinger(true, 0);
                    each.close();
                }
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    // ---- the store

    /** The platform's store: the calls about rows. */
    static final class Store {
        private record Row(String table, String part, String key, String value, long ver) {
            String json() {
                return "{\"table\":"
                        + quote(table)
                        + ",\"part\":"
                        + quote(part)
                        + ",\"key\":"
                        + quote(key)
                        + (value == null ? ",\"removed\":true" : ",\"value\":" + quote(value))
                        + ",\"ver\":"
                        + ver
                        + "}";
            }
        }

        final Http http;
        private final TreeMap<String, Row> mRows = new TreeMap<>();
        private final List<Row> mHistory = new ArrayList<>();
        private long mVersion = 1;

        Store() throws IOException {
            http = new Http("127.0.0.1", 0, this::handle);
        }

        /** Writes a row whose value is a text; removes it if the value is null. */
        synchronized void put(String table, String key, String value) {
            String encoded =
                    value == null ? null : Base64.getEncoder().encodeToString(bytes(value));
            write(table, "", key, encoded);
            notifyAll();
        }

        private void write(String table, String part, String key, String encoded) {
            Row row = new Row(table, part, key, encoded, ++mVersion);
            String id = table + "\u0000" + part + "\u0000" + key;
            if (encoded == null) {
                mRows.remove(id);
            } else {
                mRows.put(id, row);
            }
            mHistory.add(row);
        }

        private void handle(Message request, OutputStream out, Socket socket) throws Exception {
            TimeUnit.MILLISECONDS.sleep(4);
            String body =
                    switch (request.path()) {
                        case "/api/rows-get" -> get(request);
                        case "/api/rows-feed" -> feed(request);
                        case "/api/rows-tx" -> transact(request);
                        default -> null;
                    };
            respond(
                    out,
                    body == null ? 404 : 200,
                    Map.of("Content-Type", "application/json", "Store-Era", "1"),
                    bytes(body == null ? "{}" : body));
        }

        private String tail() {
            return "\"ver\":" + mVersion + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
        }

        private synchronized String get(Message request) {
            List<String> rows =
                    mRows.values().stream()
                            .filter(each -> each.table().equals(request.query("table")))
                            .filter(each -> each.part().equals(request.query("part")))
                            .filter(each -> each.key().compareTo(request.query("from")) >= 0)
                            .map(Row::json)
                            .toList();
            return "{\"rows\":[" + String.join(",", rows) + "],\"truncated\":false," + tail();
        }

        private synchronized String feed(Message request) throws InterruptedException {
            long after = Long.parseLong(request.query("after_rev"));
            long end = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
            while (true) {
                List<String> rows =
                        mHistory.stream()
                                .filter(each -> each.table().equals(request.query("table")))
                                .filter(each -> each.ver() > after)
                                .map(Row::json)
                                .toList();
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!rows.isEmpty() || left <= 0) {
                    return "{\"rows\":[" + String.join(",", rows) + "]," + tail();
                }
                wait(left);
            }
        }

        @SuppressWarnings("unchecked")
        private synchronized String transact(Message request) {
            Map<String, Object> call =
                    (Map<String, Object>)
                            new Json(new String(request.body(), StandardCharsets.UTF_8)).value();
            for (Object each : (List<Object>) call.getOrDefault("writes", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                write(
                        (String) row.get("table"),
                        (String) row.getOrDefault("part", ""),
                        (String) row.get("key"),
                        (String) row.get("value"));
            }
            for (Object each : (List<Object>) call.getOrDefault("deletes", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                write(
                        (String) row.get("table"),
                        (String) row.getOrDefault("part", ""),
                        (String) row.get("key"),
                        null);
            }
            notifyAll();
            return "{" + tail();
        }
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char each : text.toCharArray()) {
            if (each == '"' || each == '\\') {
                quoted.append('\\').append(each);
            } else if (each < ' ') {
                quoted.append(String.format("\\u%04x", (int) each));
            } else {
                quoted.append(each);
            }
        }
        return quoted.append('"').toString();
    }

    /** Reads the JSON of the calls. */
    static final class Json {
        private final String mText;
        private int mAt;

        Json(String text) {
            mText = text;
        }

        private char next() {
            while (Character.isWhitespace(mText.charAt(mAt))) {
                mAt++;
            }
            return mText.charAt(mAt);
        }

        Object value() {
            char first = next();
            if (first == '{') {
                Map<String, Object> map = new LinkedHashMap<>();
                mAt++;
                while (next() != '}') {
                    if (next() == ',') {
                        mAt++;
                    }
                    next();
                    String name = string();
                    next();
                    mAt++;
                    map.put(name, value());
                }
                mAt++;
                return map;
            }
            if (first == '[') {
                List<Object> list = new ArrayList<>();
                mAt++;
                while (next() != ']') {
                    if (next() == ',') {
                        mAt++;
                    }
                    list.add(value());
                }
                mAt++;
                return list;
            }
            if (first == '"') {
                return string();
            }
            int begin = mAt;
            while (mAt < mText.length() && ",]}".indexOf(mText.charAt(mAt)) < 0) {
                mAt++;
            }
            return mText.substring(begin, mAt).strip();
        }

        private String string() {
            StringBuilder text = new StringBuilder();
            mAt++;
            while (mText.charAt(mAt) != '"') {
                char each = mText.charAt(mAt++);
                if (each == '\\') {
                    each = mText.charAt(mAt++);
                    if (each == 'u') {
                        each = (char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16);
                        mAt += 4;
                    } else if (each == 'n') {
                        each = '\n';
                    }
                }
                text.append(each);
            }
            mAt++;
            return text.toString();
        }
    }

    // ---- clients

    /** What a client got: status 0 without a whole answer. */
    record Answer(int status, Message message, String failure) {
        boolean isWhole() {
            return status > 0;
        }
    }

    private static final AtomicLong ATTEMPTS = new AtomicLong();

    static String newAttempt() {
        return String.format(
                "%08x%08x", ATTEMPTS.incrementAndGet(), ThreadLocalRandom.current().nextInt());
    }

    /** Sends a request on a new connection and waits for the answer up to the deadline. */
    Answer call(
            String address,
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            int deadlineMillis) {
        String ip = address.split(":")[0];
        int port = Integer.parseInt(address.split(":")[1]);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), Math.min(1_000, deadlineMillis));
            socket.setSoTimeout(deadlineMillis);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (!method.equals("GET")) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            head.append("\r\n");
            socket.getOutputStream().write(bytes(head.toString()));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                return new Answer(0, null, "closed without an answer");
            }
            return new Answer(Integer.parseInt(answer.first().split(" ")[1]), answer, "");
        } catch (IOException e) {
            return new Answer(0, null, e.toString());
        }
    }

    // ---- gateways

    /** Ports that are free on all loopback addresses of a case. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** One process of the system, started with the command of the deploy file. */
    final class Gateway {
        final String name;
        final String ip;
        final String zone;
        final int[] ports;
        final List<String> seeds;
        volatile Process process;
        volatile double startedAt;

        Gateway(String name, String ip, String zone, int[] ports, List<String> seeds) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.ports = ports;
            this.seeds = seeds;
            gateways.add(this);
        }

        String front() {
            return ip + ":" + ports[0];
        }

        /** Starts the process; {@code isFirst} is true only when the whole system starts anew. */
        void start(boolean isFirst) throws IOException {
            List<String> lines =
                    List.of(
                            "node_name=" + name,
                            "role=gateway",
                            "machine_class=edge",
                            "serves=edge,control_plane,registry",
                            "ip=" + ip,
                            "zone=" + zone,
                            "region=region-1",
                            "zones.zone-a=region-1",
                            "zones.zone-b=region-1",
                            "zones.zone-c=region-1",
                            "listen.front=" + front(),
                            "listen.ready=" + ip + ":" + ports[1],
                            "listen.control=" + ip + ":" + ports[4],
                            "listen.directory=" + ip + ":" + ports[2],
                            "internal_ports=" + ports[3] + "," + ports[3],
                            "seeds=" + String.join(",", seeds),
                            "bootstrap=" + isFirst,
                            "limits.cpu_share=0.51",
                            "limits.cores=1",
                            "limits.memory_mb=352",
                            "limits.max_fds=2069",
                            "heartbeat_ms=1200",
                            "fault_tolerance.machines=1",
                            "bounds.reuse_after_s=2",
                            "bounds.stable_window_ms=3000",
                            "bounds.ack_ms=4000",
                            "bounds.drain_ms=2000",
                            "bounds.grace_s=8",
                            "bounds.loss_slack_ms=200",
                            "bounds.config_apply_ms=2000",
                            "bounds.retry_budget_ratio=0.2",
                            "bounds.budget_window_s=10",
                            "bounds.retry_budget_slack=234",
                            "bounds.recover_s=12",
                            "bounds.free_ms=4000",
                            "bounds.idle_max_ms=9000",
                            "bounds.ttl_max_s=5",
                            "platform.address=" + store.http.address(),
                            "platform.form=table",
                            "");
            Path settings = work.resolve(name + ".conf");
            Files.write(settings, lines);
            String run =
                    Files.readAllLines(Path.of("deploy/system.toml")).stream()
                            .filter(each -> each.startsWith("run = "))
                            .findFirst()
                            .orElseThrow();
            List<String> command =
                    List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment()
                    .keySet()
                    .removeIf(each -> !Set.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(each));
            builder.environment().put("RATTANPORT_CONFIG", settings.toString());
            Path output = work.resolve(name + ".log");
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            startedAt = now();
            log("process " + name + " starts, pid " + process.pid());
        }

        boolean isReady() {
            return process.isAlive()
                    && call(ip + ":" + ports[1], "GET", "/api/readyz", Map.of("Host", ip), new byte[0], 500)
                                    .status()
                            == 200;
        }

        void awaitReady(double limitSeconds) throws InterruptedException {
            double end = now() + limitSeconds;
            while (!isReady()) {
                if (now() > end) {
                    throw new IllegalStateException(name + " is not ready");
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
            log("process " + name + " is ready");
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                log("process " + name + " killed");
            }
        }

        void signal(String signal) throws IOException, InterruptedException {
            log("process " + name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        String output() throws IOException {
            return Files.readString(work.resolve(name + ".log"));
        }
    }

    static int[] freePorts() throws IOException {
        return new int[] {freePort(), freePort(), freePort(), freePort(), freePort()};
    }

    /** A range of loopback addresses that other cases are unlikely to use. */
    static String network() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
    }

    /** An address that does not answer: connections to it hang, as to a machine without power. */
    static final class DeadAddress implements AutoCloseable {
        private final ServerSocket mListener = new ServerSocket();
        private final List<Socket> mFill = new ArrayList<>();

        DeadAddress(String ip, int port) throws IOException {
            mListener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1);
            for (int i = 0; i < 8; i++) {
                Socket socket = new Socket();
                try {
                    socket.connect(new InetSocketAddress(ip, port), 150);
                    mFill.add(socket);
                } catch (IOException e) {
                    // The queue is full; further connections hang.
                    socket.close();
                    return;
                }
            }
        }

        @Override
        public void close() throws IOException {
            for (Socket each : mFill) {
                each.close();
            }
            mListener.close();
        }
    }
}
