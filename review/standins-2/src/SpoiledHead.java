import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Two of three back ends hand out wrong bytes in the head of some of their answers. */
final class SpoiledHead {
    private static final int MACHINES = 3;
    private static final double SHARE_OF_ANSWERS = 0.05;
    private static final double END = 30;

    /** The trouble lasts 5 s, and comes three times. */
    private static final double[] TROUBLES = {4, 13, 22};

    private static final double TROUBLE_SECONDS = 5;

    /** What an answer says about its server, as a sound one and with wrong bytes in it. */
    private static final String SOUND = "Server: ledger 4.2 of the dispatch\r\n";

    private static final List<String> SPOILED =
            List.of(
                    "Server: ledger 4.2\0of the dispatch\r\n",
                    "Server: ledger 4.2\rof the dispatch\r\n",
                    "\1\2\3\4er: ledger 4.2 of the dispatch\r\n",
                    ": ledger 4.2 of the dispatch\r\n");

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], SpoiledHead::run);
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
        AtomicInteger spoiled = new AtomicInteger();
        AtomicInteger requests = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        for (int number = 1; number <= 3; number++) {
            String id = "i-" + number;
            boolean isFaulty = number <= 2;
            Lab.Http backEnd =
                    new Lab.Http(
                            "127.0.0.1",
                            0,
                            (request, out, socket) -> {
                                TimeUnit.MILLISECONDS.sleep(20);
                                ThreadLocalRandom random = ThreadLocalRandom.current();
                                boolean isSpoiled =
                                        isFaulty
                                                && isTrouble(lab)
                                                && random.nextDouble() < SHARE_OF_ANSWERS;
                                String line =
                                        isSpoiled
                                                ? SPOILED.get(random.nextInt(SPOILED.size()))
                                                : SOUND;
                                if (isSpoiled) {
                                    spoiled.incrementAndGet();
                                    lab.log(
                                            id
                                                    + " spoils its answer to "
                                                    + request.header(Lab.PREFIX + "Attempt-Id"));
                                }
                                String answer =
                                        "HTTP/1.1 200 OK\r\n"
                                                + Lab.PREFIX
                                                + "Attempt-Id: "
                                                + request.header(Lab.PREFIX + "Attempt-Id")
                                                + "\r\n"
                                                + Lab.PREFIX
                                                + "Response-Seal: seal-"
                                                + id
                                                + "\r\n"
                                                + line
                                                + "Content-Length: 6\r\n\r\nstatus";
                                out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                                out.flush();
                            });
            lab.store.put(
                    "servers",
                    id,
                    "{\"service\":\"ledger\",\"address\":\""
                            + backEnd.address()
                            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,"
                            + "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":0,"
                            + "\"born\":1760000000000}");
        }
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-status\",\"host\":\"one.example\","
                        + "\"prefix\":\"/status/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
                        + "\"goal_ms\":100,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2,"
                        + "\"public\":true,\"sticky\":false,\"resumable\":false}],\"services\":[{"
                        + "\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":248,"
                        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
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
                Lab.start(() -> send(lab, each, requests, broken));
            }
            TimeUnit.MILLISECONDS.sleep(75);
        }
        TimeUnit.MILLISECONDS.sleep(1_500);
        lab.log(
                "requests "
                        + requests
                        + ", answers spoiled by back ends "
                        + spoiled
                        + ", successes with bytes that are no HTTP at clients "
                        + broken
                        + ", allowed 0");
        return broken.get() == 0;
    }

    private static void send(
            Lab lab, Lab.Gateway machine, AtomicInteger requests, AtomicInteger broken)
            throws IOException {
        String attempt = Lab.newAttempt();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "one.example");
        headers.put(Lab.PREFIX + "Attempt-Id", attempt);
        headers.put(Lab.PREFIX + "Deadline-Ms", "1000");
        StringBuilder head = new StringBuilder("GET /status/1 HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Connection: close\r\n\r\n");
        requests.incrementAndGet();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, machine.ports[0]), 1_000);
            socket.setSoTimeout(1_500);
            socket.getOutputStream().write(Lab.bytes(head.toString()));
            String answer = readHead(new BufferedInputStream(socket.getInputStream()));
            String fault = fault(answer);
            if (answer.startsWith("HTTP/1.1 200 ") && !fault.isEmpty()) {
                broken.incrementAndGet();
                lab.log(attempt + " at " + machine.name + " gets 200 with " + fault + ": " + show(answer));
            } else {
                lab.log(attempt + " at " + machine.name + ": " + answer.split("\r\n", 2)[0]);
            }
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int each = in.read(); each >= 0; each = in.read()) {
            head.write(each);
            if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                break;
            }
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** What makes a head no HTTP: RFC 9112, section 5, and RFC 9110, section 5. */
    private static String fault(String head) {
        String[] lines = head.split("\r\n");
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                return "a header line without a name";
            }
            if (!lines[i].substring(0, colon).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+")) {
                return "a header name that is no token";
            }
            for (char each : lines[i].substring(colon + 1).toCharArray()) {
                if ((each < ' ' && each != '\t') || each == 127) {
                    return "a control character in a header value";
                }
            }
        }
        return "";
    }

    private static String show(String head) {
        StringBuilder text = new StringBuilder();
        for (char each : head.toCharArray()) {
            text.append(each < ' ' || each > 126 ? String.format("\\x%02x", (int) each) : each);
        }
        return text.toString();
    }
}
