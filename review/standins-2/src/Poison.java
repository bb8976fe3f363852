import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A part of prompts crashes each engine that begins to write an answer on it. All processes are
 * killed once at the same moment, after the part was found.
 */
final class Poison {
    private static final int MACHINES = 4;
    private static final int ENGINES = 12;
    private static final String BAD = "bad0bad0";
    private static final double STABLE = 3;

    /** Times of the batches of prompts with the part, and of the kill, in seconds of the traffic. */
    private static final double[] BATCHES = {4, 12, 30, 38, 46};

    private static final double KILL = 20;
    private static final double END = 52;

    /** A request with the part as an engine got it. */
    record Arrival(double at, String machine, String engine) {}

    /** An engine that crashes on the part and is back after some seconds as another incarnation. */
    static final class Engine {
        private final Lab mLab;
        private final int mNumber;
        private final int mPort;
        private final List<Arrival> mArrivals;
        private final List<Double> mCrashes;
        private final Map<String, String> mMachineOf;
        private int mLife;
        private volatile String mId = "";
        private volatile Lab.Http mHttp;

        Engine(
                Lab lab,
                int number,
                List<Arrival> arrivals,
                List<Double> crashes,
                Map<String, String> machineOf)
                throws IOException {
            mLab = lab;
            mNumber = number;
            mPort = Lab.freePort();
            mArrivals = arrivals;
            mCrashes = crashes;
            mMachineOf = machineOf;
            begin();
        }

        private synchronized void begin() throws IOException {
            mLife++;
            mId = "i-" + mNumber + "-" + mLife;
            mHttp = new Lab.Http("127.0.0.1", mPort, this::handle);
            mLab.store.put(
                    "servers",
                    mId,
                    "{\"service\":\"model\",\"address\":\"127.0.0.1:"
                            + mPort
                            + "\",\"zone\":\"zone-"
                            + (char) ('a' + mNumber % 3)
                            + "\",\"version\":\"v1\",\"slots\":11,\"state\":\"ready\","
                            + "\"cold_left_ms\":0,\"stage\":\"mixed\",\"models\":[{\"name\":\"m\","
                            + "\"version\":1,\"adapters\":[]}],\"sequence\":0,\"born\":"
                            + System.currentTimeMillis()
                            + "}");
        }

        private synchronized void crash(Lab.Http crashed) {
            if (mHttp != crashed) {
                return;
            }
            String id = mId;
            mHttp = null;
            mCrashes.add(mLab.now());
            mLab.log("engine " + id + " crashes");
            crashed.crash();
            Lab.start(
                    () -> {
                        TimeUnit.MILLISECONDS.sleep(2_500);
                        begin();
                        mLab.log("engine " + mId + " is back");
                        // Its entry lapses after three heartbeats of silence.
                        TimeUnit.MILLISECONDS.sleep(1_100);
                        mLab.store.put("servers", id, null);
                    });
        }

        private void handle(Lab.Message request, OutputStream out, Socket socket)
                throws Exception {
            Lab.Http http = mHttp;
            if (request.path().equals("/api/report") || request.path().equals("/api/order")) {
                Lab.respond(out, 200, Map.of(), Lab.bytes("{\"free\":400000}"));
                return;
            }
            String attempt = request.header(Lab.PREFIX + "Attempt-Id");
            if (!request.header(Lab.PREFIX + "Expect-Instance").equals(mId)) {
                Lab.respond(out, 421, Map.of(Lab.PREFIX + "Instance-Id", mId), new byte[0]);
                return;
            }
            boolean isBad = request.header(Lab.PREFIX + "Prefix-Hash").contains(BAD);
            if (isBad) {
                String machine = mMachineOf.getOrDefault(attempt, "-");
                mArrivals.add(new Arrival(mLab.now(), machine, mId));
                mLab.log("engine " + mId + " gets " + attempt + " with the part from " + machine);
            }
            TimeUnit.MILLISECONDS.sleep(40);
            if (isBad) {
                crash(http);
                throw new IOException("crashed");
            }
            String last = request.header("Last-Event-Id");
            int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            head.append(Lab.PREFIX + "Attempt-Id: " + attempt + "\r\n");
            head.append(Lab.PREFIX + "Response-Seal: seal-" + mId + "\r\n");
            head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            out.write(Lab.bytes(head.toString()));
            for (int i = next; i <= 6; i++) {
                String event = "id: " + i + "\ndata: words of " + attempt + "\n\n";
                out.write(Lab.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
                TimeUnit.MILLISECONDS.sleep(30);
            }
            out.write(Lab.bytes("0\r\n\r\n"));
            out.flush();
        }
    }

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], Poison::run);
    }

    private static boolean run(Lab lab) throws Exception {
        String network = Lab.network();
        int[] ports = Lab.freePorts();
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        List<Double> crashes = new CopyOnWriteArrayList<>();
        Map<String, String> machineOf = new ConcurrentHashMap<>();
        for (int i = 1; i <= ENGINES; i++) {
            new Engine(lab, i, arrivals, crashes, machineOf);
        }
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-query\",\"host\":\"one.example\","
                        + "\"prefix\":\"/query/\",\"route_kind\":\"streaming\","
                        + "\"timeout_ms\":10000,\"goal_ms\":300,\"priority\":1,"
                        + "\"service\":\"model\",\"max_attempts\":2,\"public\":true,"
                        + "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":200}],"
                        + "\"services\":[{\"name\":\"model\",\"health_path\":\"/healthz\","
                        + "\"max_conns\":616,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                        + "\"slots\":11,\"kv_capacity\":450000,\"kv_bytes\":327680,"
                        + "\"link_mbps\":400000.0,\"stride\":46,\"models\":[{\"name\":\"m\"}],"
                        + "\"step_ms\":0.925,\"per_seq_ms\":0.007,\"context_per_k\":0.00254,"
                        + "\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,"
                        + "\"report_lag_ms\":200.0,\"usual\":{\"prompt\":13199,\"answer\":1541},"
                        + "\"hop_ms\":0.1}}],\"limits\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},\"tenants\":[]}");
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            seeds.add(network + i + ":" + ports[4]);
        }
        List<Lab.Gateway> machines = new ArrayList<>();
        for (int i = 1; i <= MACHINES; i++) {
            machines.add(
                    lab.new Gateway(
                            "edge-" + i, network + i, "zone-" + (char) ('a' + i % 3), ports, seeds));
        }
        for (Lab.Gateway each : machines) {
            each.start(true);
        }
        for (Lab.Gateway each : machines) {
            each.awaitReady(20);
        }
        double begin = lab.now() + 3;
        for (Lab.Gateway each : machines) {
            Lab.start(
                    () -> {
                        lab.sleepUntil(begin);
                        while (lab.now() < begin + END - 2) {
                            Lab.start(() -> send(lab, each, machineOf, false));
                            TimeUnit.MILLISECONDS.sleep(
                                    ThreadLocalRandom.current().nextInt(150, 350));
                        }
                    });
        }
        for (double batch : BATCHES) {
            Lab.start(
                    () -> {
                        lab.sleepUntil(begin + batch);
                        for (Lab.Gateway each : machines) {
                            Lab.start(() -> send(lab, each, machineOf, true));
                            TimeUnit.MILLISECONDS.sleep(200);
                        }
                    });
        }
        if (lab.hasTrouble) {
            lab.sleepUntil(begin + KILL);
            for (Lab.Gateway each : machines) {
                each.process.destroyForcibly();
            }
            lab.log("all processes are killed");
            TimeUnit.MILLISECONDS.sleep(1_300);
            for (Lab.Gateway each : machines) {
                each.start(false);
            }
            for (Lab.Gateway each : machines) {
                each.awaitReady(10);
            }
        }
        lab.sleepUntil(begin + END);
        return judge(lab, machines, arrivals, crashes);
    }

    private static void send(
            Lab lab, Lab.Gateway gateway, Map<String, String> machineOf, boolean isBad) {
        String attempt = Lab.newAttempt();
        machineOf.put(attempt, gateway.name);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "one.example");
        headers.put(Lab.PREFIX + "Attempt-Id", attempt);
        headers.put(Lab.PREFIX + "Model", "m");
        headers.put(Lab.PREFIX + "Token-Counts", "1460,276");
        String shared = "5c1e07a2:40," + (isBad ? BAD + ":410" : topic() + ":410");
        headers.put(Lab.PREFIX + "Prefix-Hash", shared + "," + attempt + ":1010");
        headers.put(Lab.PREFIX + "Deadline-Ms", "10000");
        Lab.Answer answer =
                lab.call(
                        gateway.front(),
                        "POST",
                        "/query/" + attempt,
                        headers,
                        Lab.bytes("the prompt of " + attempt),
                        10_000);
        lab.log(
                (isBad ? "with the part, " : "sound, ")
                        + attempt
                        + " at "
                        + gateway.name
                        + ": "
                        + answer.status()
                        + " "
                        + answer.failure());
    }

    private static String topic() {
        return "91bd3f0" + ThreadLocalRandom.current().nextInt(8);
    }

    /** The rule: counted are arrivals later than 3 s after the fifth crash, of machines in touch. */
    private static boolean judge(
            Lab lab, List<Lab.Gateway> machines, List<Arrival> arrivals, List<Double> crashes) {
        List<Double> sorted = crashes.stream().sorted().toList();
        if (sorted.size() < 5) {
            lab.log("there were only " + sorted.size() + " crashes");
            return true;
        }
        double from = sorted.get(4) + STABLE;
        Map<String, Double> startedAt = new LinkedHashMap<>();
        machines.forEach(each -> startedAt.put(each.name, each.startedAt));
        long counted =
                arrivals.stream()
                        .filter(each -> each.at() > from)
                        .filter(
                                each ->
                                        each.at()
                                                > startedAt.getOrDefault(each.machine(), 1e9)
                                                        + STABLE)
                        .peek(each -> lab.log("counted: " + each))
                        .count();
        lab.log("fifth crash at " + sorted.get(4) + "; all crashes at " + sorted);
        lab.log("requests with the part from " + from + " on: " + counted + ", allowed 3");
        return counted <= 3;
    }
}
