import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the store, and gateways that are started with the
 * command of the deploy file. Writes the record of a case.
 */
final class Lab implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    /** The services and limits of a small deployment; routes are added by the cases. */
    static final String SERVICES =
            "\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_conns\":616,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":11,"
                    + "\"kv_capacity\":450000,\"stride\":46,\"models\":[{\"name\":\"m\"}],"
                    + "\"step_ms\":0.925,\"per_seq_ms\":0.00702,\"context_per_k\":0.00254,"
                    + "\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048}},"
                    + "{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\"max_conns\":248,"
                    + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                    + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                    + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
                    + "\"api_keys\":[\"" + Client.KEY + "\"],\"priority\":1}]";

    static final String STREAMING =
            "{\"name\":\"r-stream\",\"host\":\"ficu95.example\",\"prefix\":\"/stream/\","
                    + "\"route_kind\":\"streaming\",\"timeout_ms\":10000,\"goal_ms\":300,"
                    + "\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":2,\"public\":false,"
                    + "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":200}";

    static final String LONG_STREAMING =
            "{\"name\":\"r-review\",\"host\":\"ficu95.example\",\"prefix\":\"/review/\","
                    + "\"route_kind\":\"streaming\",\"timeout_ms\":15000,\"goal_ms\":3000,"
                    + "\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":2,\"public\":false,"
                    + "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":800}";

    static final String NON_IDEMPOTENT =
            "{\"name\":\"r-book\",\"host\":\"ficu95.example\",\"prefix\":\"/book/\","
                    + "\"route_kind\":\"non_idempotent\",\"timeout_ms\":10000,\"goal_ms\":100,"
                    + "\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":1,\"public\":false}";

    static final String IDEMPOTENT =
            "{\"name\":\"r-read\",\"host\":\"ficu95.example\",\"prefix\":\"/read/\","
                    + "\"route_kind\":\"idempotent\",\"timeout_ms\":10000,\"goal_ms\":1000,"
                    + "\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\"public\":false}";

    /** One machine with a gateway. */
    final class Gateway {
        private final String mName;
        private final String mIp;
        private final int mIndex;
        private final Path mSettings;
        private Process mProcess;

        private Gateway(int index) throws IOException {
            mIndex = index;
            mName = "edge-" + index;
            mIp = ip(index);
            mSettings = mFolder.resolve(mName + ".conf");
            writeSettings(true);
        }

        private void writeSettings(boolean isFirstStart) throws IOException {
            List<String> seeds = new ArrayList<>();
            for (int i = 1; i <= Math.min(3, mSize); i++) {
                seeds.add(ip(i) + ":" + mPorts[2]);
            }
            Files.writeString(
                    mSettings,
                    String.join(
                            "\n",
                            "node_name=" + mName,
                            "role=gateway",
                            "machine_class=edge",
                            "serves=edge,control_plane,registry",
                            "ip=" + mIp,
                            "zone=zone-a",
                            "region=region-a",
                            "zones.zone-a=region-a",
                            "listen.front=" + front(),
                            "listen.ready=" + mIp + ":" + mPorts[1],
                            "listen.control=" + mIp + ":" + mPorts[2],
                            "listen.directory=" + mIp + ":" + mPorts[3],
                            "internal_ports=" + mPorts[4] + "," + (mPorts[4] + 1),
                            "seeds=" + String.join(",", seeds),
                            "bootstrap=" + isFirstStart,
                            "limits.cpu_share=0.51",
                            "limits.cores=1",
                            "limits.memory_mb=352",
                            "limits.max_fds=2069",
                            "heartbeat_ms=1200",
                            "bounds.stable_window_ms=3000",
                            "bounds.drain_ms=2000",
                            "bounds.grace_s=8",
                            "bounds.config_apply_ms=2000",
                            "bounds.retry_budget_ratio=0.2",
                            "bounds.budget_window_s=10",
                            "bounds.retry_budget_slack=234",
                            "platform.address=" + mStore.address(),
                            "platform.form=table",
                            ""));
        }

        String front() {
            return mIp + ":" + mPorts[0];
        }

        String directory() {
            return mIp + ":" + mPorts[3];
        }

        Process process() {
            return mProcess;
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(mCommand).directory(mRoot.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("RATTANPORT_CONFIG", mSettings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
            mProcess = builder.start();
            log("gateway " + mName + " started, pid " + mProcess.pid());
        }

        void restart() throws IOException {
            writeSettings(false);
            start();
        }

        void signal(String name) throws IOException, InterruptedException {
            log("SIG" + name + " to " + mName);
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        }

        boolean isReady() {
            return get(mIp + ":" + mPorts[1], "/api/readyz", 1_000) == 200;
        }

        void awaitReady(int seconds) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (!isReady()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(mName + " did not become ready");
                }
                Thread.sleep(50);
            }
            log("gateway " + mName + " is ready");
        }

        String output() throws IOException {
            return Files.readString(mFolder.resolve(mName + ".log"));
        }
    }

    private static boolean sHasTrouble = true;

    private final Path mRoot;
    private final Path mFolder;
    private final List<String> mCommand;
    private final PrintWriter mRecord;
    private final long mStart = System.nanoTime();
    private final int mSize;
    private final int mNet;
    private final int[] mPorts;
    private final List<Gateway> mGateways = new ArrayList<>();
    private final Store mStore;
    private long mDocumentVersion;

    Lab(Path record, int size) throws IOException {
        mSize = size;
        mRoot = record.toAbsolutePath().getParent().getParent().getParent();
        mFolder = Files.createTempDirectory("rattanport-review");
        mRecord = new PrintWriter(Files.newBufferedWriter(record));
        mNet = 1 + (int) (ProcessHandle.current().pid() % 250);
        mPorts = freePorts();
        mStore = new Store(InetAddress.getByName(ip(200)));
        mCommand = command();
        for (int i = 1; i <= size; i++) {
            mGateways.add(new Gateway(i));
        }
    }

    static boolean hasTrouble() {
        return sHasTrouble;
    }

    private String ip(int index) {
        return "127.88." + mNet + "." + index;
    }

    InetAddress engineAddress(int index) throws IOException {
        return InetAddress.getByName(ip(100 + index));
    }

    private int[] freePorts() throws IOException {
        int[] ports = new int[5];
        for (int i = 0; i < ports.length; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip(1)))) {
                ports[i] = socket.getLocalPort();
            }
        }
        return ports;
    }

    private List<String> command() throws IOException {
        String line =
                Files.readAllLines(mRoot.resolve("deploy/system.toml")).stream()
                        .filter(each -> each.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    Store store() {
        return mStore;
    }

    Gateway gateway(int index) {
        return mGateways.get(index);
    }

    /** Writes a new version of the operator's document. */
    void putDocument(String... routes) {
        mDocumentVersion += 3;
        mStore.put(
                "op",
                "config",
                "{\"version\":" + mDocumentVersion + ",\"routes\":[" + String.join(",", routes) + "],"
                        + SERVICES + "}");
        log("configuration " + mDocumentVersion + " is acknowledged: " + routes.length + " routes");
    }

    void register(Engine engine, String service, int slots) {
        mStore.put("servers", engine.id(), engine.entry(service, slots, "ready"));
    }

    void startAll() throws IOException, InterruptedException {
        for (Gateway each : mGateways) {
            each.start();
        }
        for (Gateway each : mGateways) {
            each.awaitReady(30);
        }
    }

    synchronized void log(String line) {
        String text =
                String.format("%8.3f s  %s", (System.nanoTime() - mStart) / 1e9, line);
        mRecord.println(text);
        mRecord.flush();
    }

    static int get(String address, String target, int timeoutMillis) {
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + address + target))
                            .timeout(Duration.ofMillis(timeoutMillis))
                            .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Ends all processes that this case started. */
    @Override
    public void close() {
        for (Gateway each : mGateways) {
            if (each.mProcess != null) {
                each.mProcess.destroyForcibly().onExit().join();
            }
        }
        try {
            if (System.getenv("KEEP_LOGS") == null) {
                try (var files = Files.list(mFolder)) {
                    for (Path file : files.toList()) {
                        Files.delete(file);
                    }
                }
                Files.delete(mFolder);
            } else {
                System.err.println("logs: " + mFolder);
            }
        } catch (IOException e) {
            System.err.println("cannot delete " + mFolder + ": " + e);
        }
        mRecord.close();
    }

    /** The part of a case that differs. */
    interface Scenario {
        int run(Lab lab) throws Exception;
    }

    /**
     * Runs a case and ends the process with its exit code.
     *
     * @param arguments 0 to leave out the disruption, or 1; and the path of the record
     */
    static void run(String[] arguments, int size, Scenario scenario) {
        sHasTrouble = !arguments[0].equals("0");
        int result = NOT_RUN;
        try (Lab lab = new Lab(Path.of(arguments[1]), size)) {
            Thread hook = new Thread(lab::close);
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                lab.log(hasTrouble() ? "with the disruption" : "without the disruption");
                result = scenario.run(lab);
                lab.log(
                        result == BROKEN
                                ? "RESULT: the rule was broken"
                                : result == HELD ? "RESULT: the rule held" : "RESULT: could not run");
            } catch (Exception e) {
                lab.log("RESULT: could not run: " + e);
                e.printStackTrace();
            }
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }
}
