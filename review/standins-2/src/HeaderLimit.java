import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A configuration allows longer headers than the one before. Clients that keep their connections
 * use that some seconds later.
 */
final class HeaderLimit {
    private static final int MACHINES = 3;
    private static final int CLIENTS = 24;
    private static final double CHANGE = 6;
    private static final double LONG_HEADERS = 16;
    private static final double END = 30;
    private static final int SMALL = 8_192;
    private static final int LARGE = 32_768;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], HeaderLimit::run);
    }

    private static boolean run(Lab lab) throws Exception {
        String network = Lab.network();
        int[] ports = Lab.freePorts();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        Lab.Http backEnd =
                new Lab.Http(
                        "127.0.0.1",
                        0,
                        (request, out, socket) -> {
                            TimeUnit.MILLISECONDS.sleep(20);
                            Map<String, String> headers = new LinkedHashMap<>();
                            headers.put(
                                    Lab.PREFIX + "Attempt-Id",
                                    request.header(Lab.PREFIX + "Attempt-Id"));
                            headers.put(Lab.PREFIX + "Response-Seal", "seal-1");
                            Lab.respond(out, 200, headers, Lab.bytes("status"));
                        });
        lab.store.put(
                "servers",
                "i-1",
                "{\"service\":\"ledger\",\"address\":\""
                        + backEnd.address()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,"
                        + "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":0,"
                        + "\"born\":1760000000000}");
        lab.store.put("op", "config", config(7, lab.hasTrouble ? SMALL : LARGE));
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
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Lab.Gateway machine = machines.get(i % MACHINES);
            double offset = i * 0.05;
            clients.add(
                    Lab.start(() -> runClient(lab, machine, begin + offset, begin, sent, denied)));
        }
        lab.sleepUntil(begin + CHANGE);
        if (lab.hasTrouble) {
            lab.store.put("op", "config", config(9, LARGE));
            lab.log("configuration 9 allows " + LARGE + " bytes of headers, acknowledged");
        }
        for (Thread each : clients) {
            each.join();
        }
        double allowed = 5 + sent.get() / 500.0;
        lab.log("requests " + sent + ", denied " + denied + ", allowed " + allowed);
        return denied.get() <= allowed;
    }

    private static String config(int version, int headerBytes) {
        return "{\"version\":"
                + version
                + ",\"routes\":[{\"name\":\"r-status\",\"host\":\"one.example\","
                + "\"prefix\":\"/status/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
                + "\"goal_ms\":100,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2,"
                + "\"public\":true,\"sticky\":false,\"resumable\":false}],\"services\":[{"
                + "\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":248,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":"
                + headerBytes
                + ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    /** Sends a request every two seconds on a connection that it keeps. */
    private static void runClient(
            Lab lab,
            Lab.Gateway machine,
            double from,
            double begin,
            AtomicInteger sent,
            AtomicInteger denied)
            throws Exception {
        Socket socket = null;
        InputStream in = null;
        for (double at = from; at < begin + END; at += 2) {
            lab.sleepUntil(at);
            boolean isLong = at > begin + LONG_HEADERS;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(machine.ip, machine.ports[0]), 1_000);
                    socket.setSoTimeout(2_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                String attempt = Lab.newAttempt();
                String head =
                        "GET /status/1 HTTP/1.1\r\nHost: one.example\r\n"
                                + Lab.PREFIX
                                + "Attempt-Id: "
                                + attempt
                                + "\r\n"
                                + Lab.PREFIX
                                + "Deadline-Ms: 1000\r\n"
                                + (isLong ? "X-Note: " + "n".repeat(12_000) + "\r\n" : "")
                                + "\r\n";
                sent.incrementAndGet();
                socket.getOutputStream().write(Lab.bytes(head));
                Lab.Message answer = Lab.read(in);
                String status = answer == null ? "closed" : answer.first().split(" ")[1];
                lab.log(
                        attempt
                                + " with "
                                + head.length()
                                + " bytes of head at "
                                + machine.name
                                + ": "
                                + status);
                boolean isOwn =
                        answer != null && answer.header(Lab.PREFIX + "Response-Seal").isEmpty();
                if (isOwn && status.startsWith("4")) {
                    denied.incrementAndGet();
                }
                if (answer == null || answer.header("connection").equalsIgnoreCase("close")) {
                    socket.close();
                    socket = null;
                }
            } catch (IOException e) {
                lab.log("no answer at " + machine.name + ": " + e);
                if (socket != null) {
                    socket.close();
                }
                socket = null;
            }
        }
        if (socket != null) {
            socket.close();
        }
    }
}
