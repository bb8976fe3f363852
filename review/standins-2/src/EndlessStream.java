import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of seven engines sends events without end in some of its answers. Its route has a timeout that
 * is shorter than the deadline of the clients.
 */
final class EndlessStream {
    private static final int MACHINES = 3;
    private static final int ENGINES = 7;
    private static final double SHARE_OF_ANSWERS = 0.45;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int DEADLINE_MILLIS = 9_000;
    private static final double[] TROUBLES = {2, 12};
    private static final double TROUBLE_SECONDS = 6.5;
    private static final double END = 20;

    /** Bytes that a client reads in a millisecond: 8 Mbit/s. */
    private static final int BYTES_A_MILLISECOND = 1_000;

    private static volatile double sBegin = Double.MAX_VALUE;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], EndlessStream::run);
    }

    private static boolean isTrouble(Lab lab) {
        double at = lab.now() - sBegin;
        for (double each : TROUBLES) {
            if (lab.hasTrouble && at >= each && at < each + TROUBLE_SECONDS) {
                return true;
            }
        }
        return false;
    }

    private static boolean run(Lab lab) throws Exception {
        String network = Lab.network();
        int[] ports = Lab.freePorts();
        Set<String> faulty = ConcurrentHashMap.newKeySet();
        AtomicInteger requests = new AtomicInteger();
        AtomicInteger endless = new AtomicInteger();
        AtomicInteger longer = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        for (int number = 1; number <= ENGINES; number++) {
            String id = "i-" + number;
            Lab.Http engine =
                    new Lab.Http(
                            "127.0.0.1",
                            0,
                            (request, out, socket) ->
                                    serve(lab, id, faulty, request, out, endless));
            lab.store.put(
                    "servers",
                    id,
                    "{\"service\":\"model\",\"address\":\""
                            + engine.address()
                            + "\",\"zone\":\"zone-"
                            + (char) ('a' + number % 3)
                            + "\",\"version\":\"v1\",\"slots\":11,\"state\":\"ready\","
                            + "\"cold_left_ms\":0,\"stage\":\"mixed\",\"models\":[{\"name\":\"m\","
                            + "\"version\":1,\"adapters\":[]}],\"sequence\":0,"
                            + "\"born\":1760000000000}");
        }
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-query\",\"host\":\"one.example\","
                        + "\"prefix\":\"/query/\",\"route_kind\":\"streaming\",\"timeout_ms\":"
                        + TIMEOUT_MILLIS
                        + ",\"goal_ms\":300,\"priority\":1,"
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
        lab.sleepUntil(lab.now() + 3);
        sBegin = lab.now();
        while (lab.now() < sBegin + END) {
            for (Lab.Gateway each : machines) {
                Lab.start(() -> send(lab, each, requests, longer, unanswered));
            }
            TimeUnit.MILLISECONDS.sleep(90);
        }
        TimeUnit.MILLISECONDS.sleep(DEADLINE_MILLIS + 500);
        lab.log(
                "requests "
                        + requests
                        + ", streams without end "
                        + endless
                        + "; requests longer than the timeout "
                        + longer
                        + ", of these without a final answer 0.5 s later "
                        + unanswered
                        + ", allowed 7 or a quarter");
        return unanswered.get() < 8 || 4 * unanswered.get() <= longer.get();
    }

    private static void serve(
            Lab lab,
            String id,
            Set<String> faulty,
            Lab.Message request,
            OutputStream out,
            AtomicInteger endless)
            throws Exception {
        if (request.path().startsWith("/api/")) {
            Lab.respond(out, 200, Map.of(), Lab.bytes("{\"free\":400000}"));
            return;
        }
        synchronized (faulty) {
            // The first engine that is used, as a quiet fleet may not use all.
            if (faulty.isEmpty()) {
                faulty.add(id);
            }
        }
        String attempt = request.header(Lab.PREFIX + "Attempt-Id");
        TimeUnit.MILLISECONDS.sleep(30);
        out.write(
                Lab.bytes(
                        "HTTP/1.1 200 OK\r\n"
                                + Lab.PREFIX
                                + "Attempt-Id: "
                                + attempt
                                + "\r\n"
                                + Lab.PREFIX
                                + "Response-Seal: seal-"
                                + id
                                + "\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"));
        boolean isEndless =
                isTrouble(lab)
                        && faulty.contains(id)
                        && ThreadLocalRandom.current().nextDouble() < SHARE_OF_ANSWERS;
        if (isEndless) {
            endless.incrementAndGet();
            lab.log(id + " sends without end to " + attempt);
        }
        String last = request.header("Last-Event-Id");
        long next = last.isEmpty() ? 1 : Long.parseLong(last) + 1;
        // Ends with an exception once the caller has closed.
        while (isEndless) {
            StringBuilder events = new StringBuilder();
            for (int i = 0; i < 200; i++) {
                events.append("id: " + next++ + "\ndata: words of " + attempt + "\n\n");
            }
            out.write(Lab.bytes(Integer.toHexString(events.length()) + "\r\n" + events + "\r\n"));
        }
        for (; next <= 20; next++) {
            String event = "id: " + next + "\ndata: words of " + attempt + "\n\n";
            out.write(Lab.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        out.write(Lab.bytes("0\r\n\r\n"));
        out.flush();
    }

    private static void send(
            Lab lab,
            Lab.Gateway machine,
            AtomicInteger requests,
            AtomicInteger longer,
            AtomicInteger unanswered)
            throws Exception {
        String attempt = Lab.newAttempt();
        requests.incrementAndGet();
        String head =
                "POST /query/"
                        + attempt
                        + " HTTP/1.1\r\nHost: one.example\r\n"
                        + Lab.PREFIX
                        + "Attempt-Id: "
                        + attempt
                        + "\r\n"
                        + Lab.PREFIX
                        + "Model: m\r\n"
                        + Lab.PREFIX
                        + "Token-Counts: 1460,920\r\n"
                        + Lab.PREFIX
                        + "Prefix-Hash: 5c1e07a2:40,91bd3f06:410,"
                        + attempt
                        + ":1010\r\n"
                        + Lab.PREFIX
                        + "Deadline-Ms: "
                        + DEADLINE_MILLIS
                        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        double sentAt = lab.now();
        long bytes = 0;
        String end = "closed";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, machine.ports[0]), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            socket.getOutputStream().write(Lab.bytes(head));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[32_768];
            int read = in.read(buffer);
            while (read >= 0) {
                bytes += read;
                if (lab.now() - sentAt > DEADLINE_MILLIS / 1e3) {
                    end = "the client's deadline passes";
                    break;
                }
                TimeUnit.MICROSECONDS.sleep(1_000L * read / BYTES_A_MILLISECOND);
                read = in.read(buffer);
            }
        } catch (java.io.IOException e) {
            end = e.toString();
        }
        double seconds = lab.now() - sentAt;
        if (seconds * 1_000 > TIMEOUT_MILLIS) {
            longer.incrementAndGet();
        }
        if (seconds * 1_000 > TIMEOUT_MILLIS + 500) {
            unanswered.incrementAndGet();
        }
        lab.log(
                String.format(
                        "%s at %s: %.3f s, %d KB, %s",
                        attempt, machine.name, seconds, bytes / 1_024, end));
    }
}
