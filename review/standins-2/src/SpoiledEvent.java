import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Some engines hand out a wrong byte inside some of their streams: a digit in the id of an event. */
final class SpoiledEvent {
    private static final int MACHINES = 3;
    private static final int ENGINES = 5;
    private static final int FAULTY = 3;
    private static final double SHARE_OF_ANSWERS = 0.05;
    private static final int EVENTS = 20;
    private static final double END = 30;

    /** The trouble lasts 5 s, and comes three times. */
    private static final double[] TROUBLES = {4, 13, 22};

    private static final double TROUBLE_SECONDS = 5;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], SpoiledEvent::run);
    }

    private static volatile double sBegin = Double.MAX_VALUE;

    private static boolean isTrouble(Lab lab) {
        double at = lab.now() - sBegin;
        return lab.hasTrouble
                && Arrays.stream(TROUBLES).anyMatch(each -> at >= each && at < each + TROUBLE_SECONDS);
    }

    private static boolean run(Lab lab) throws Exception {
        String network = Lab.network();
        int[] ports = Lab.freePorts();
        Map<String, String> sentBodies = new ConcurrentHashMap<>();
        Set<String> faulty = ConcurrentHashMap.newKeySet();
        AtomicInteger spoiled = new AtomicInteger();
        AtomicInteger streams = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        for (int number = 1; number <= ENGINES; number++) {
            String id = "i-" + number;
            Lab.Http engine =
                    new Lab.Http(
                            "127.0.0.1",
                            0,
                            (request, out, socket) ->
                                    serve(lab, id, faulty, request, out, sentBodies, spoiled));
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
        sBegin = lab.now();
        double end = sBegin + END;
        while (lab.now() < end) {
            for (Lab.Gateway each : machines) {
                Lab.start(() -> send(lab, each, sentBodies, streams, broken));
            }
            TimeUnit.MILLISECONDS.sleep(150);
        }
        TimeUnit.MILLISECONDS.sleep(3_000);
        lab.log(
                "streams "
                        + streams
                        + ", spoiled by engines "
                        + spoiled
                        + ", complete at clients without all bytes of the engine "
                        + broken
                        + ", allowed 0");
        return broken.get() == 0;
    }

    /** Sends events with the ids 1 to 20; in a spoiled stream, the first digit of one id is a 9. */
    private static void serve(
            Lab lab,
            String id,
            Set<String> faulty,
            Lab.Message request,
            OutputStream out,
            Map<String, String> sentBodies,
            AtomicInteger spoiled)
            throws Exception {
        if (request.path().startsWith("/api/")) {
            Lab.respond(out, 200, Map.of(), Lab.bytes("{\"free\":400000}"));
            return;
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
        synchronized (faulty) {
            // The first engines that are used, as a quiet fleet may not use all.
            if (faulty.size() < FAULTY) {
                faulty.add(id);
            }
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        boolean isSpoiled =
                isTrouble(lab)
                        && faulty.contains(id)
                        && random.nextDouble() < SHARE_OF_ANSWERS;
        int at = isSpoiled ? random.nextInt(3, 16) : 0;
        String last = request.header("Last-Event-Id");
        StringBuilder body = new StringBuilder();
        for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            String number = String.valueOf(i);
            if (i == at) {
                number = "9" + number.substring(1);
                spoiled.incrementAndGet();
                lab.log(id + " writes id " + number + " instead of " + i + " to " + attempt);
            }
            String event = "id: " + number + "\ndata: words " + i + " of " + attempt + "\n\n";
            body.append(event);
            out.write(Lab.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        sentBodies.put(attempt, body.toString());
        out.write(Lab.bytes("0\r\n\r\n"));
        out.flush();
    }

    private static void send(
            Lab lab,
            Lab.Gateway machine,
            Map<String, String> sentBodies,
            AtomicInteger streams,
            AtomicInteger broken) {
        String attempt = Lab.newAttempt();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "one.example");
        headers.put(Lab.PREFIX + "Attempt-Id", attempt);
        headers.put(Lab.PREFIX + "Model", "m");
        headers.put(Lab.PREFIX + "Token-Counts", "1460,920");
        headers.put(Lab.PREFIX + "Prefix-Hash", "5c1e07a2:40,91bd3f06:410," + attempt + ":1010");
        headers.put(Lab.PREFIX + "Deadline-Ms", "10000");
        streams.incrementAndGet();
        Lab.Answer answer =
                lab.call(
                        machine.front(),
                        "POST",
                        "/query/" + attempt,
                        headers,
                        Lab.bytes("the prompt of " + attempt),
                        10_000);
        String got =
                answer.isWhole()
                        ? new String(answer.message().body(), StandardCharsets.UTF_8)
                        : "";
        String sent = sentBodies.getOrDefault(attempt, "");
        if (answer.status() == 200 && !got.equals(sent)) {
            broken.incrementAndGet();
            lab.log(
                    attempt
                            + " at "
                            + machine.name
                            + ": 200, complete, "
                            + got.split("\n\n").length
                            + " events of "
                            + sent.split("\n\n").length
                            + " that the engine sent: "
                            + got.replace("\n", "|"));
        } else {
            lab.log(attempt + " at " + machine.name + ": " + answer.status() + " " + answer.failure());
        }
    }
}
