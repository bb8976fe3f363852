import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two machines is stopped. Clients read answers slowly, whose runs had ended long before the
 * end of the stop.
 */
final class SlowReader {
    private static final int CLIENTS = 10;
    private static final int ANSWER_BYTES = 7_200_000;
    private static final int BYTES_A_SECOND = 1_000_000;
    private static final int RECEIVE_BUFFER_BYTES = 32_768;
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final double GRACE = 8;
    private static final byte[] ANSWER = new byte[ANSWER_BYTES];

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], SlowReader::run);
    }

    private static boolean run(Lab lab) throws Exception {
        String network = Lab.network();
        int[] ports = Lab.freePorts();
        Map<String, Double> runEnds = new ConcurrentHashMap<>();
        Lab.Http backEnd =
                new Lab.Http(
                        "127.0.0.1",
                        0,
                        (request, out, socket) -> {
                            String attempt = request.header(Lab.PREFIX + "Attempt-Id");
                            lab.log("i-1 runs " + attempt);
                            TimeUnit.MILLISECONDS.sleep(20);
                            out.write(
                                    Lab.bytes(
                                            "HTTP/1.1 200 OK\r\n"
                                                    + Lab.PREFIX
                                                    + "Attempt-Id: "
                                                    + attempt
                                                    + "\r\n"
                                                    + Lab.PREFIX
                                                    + "Response-Seal: seal-1\r\nContent-Length: "
                                                    + ANSWER_BYTES
                                                    + "\r\n\r\n"));
                            out.write(ANSWER);
                            out.flush();
                            runEnds.put(attempt, lab.now());
                            lab.log("i-1 has sent the whole answer to " + attempt);
                        });
        lab.store.put(
                "servers",
                "i-1",
                "{\"service\":\"ledger\",\"address\":\""
                        + backEnd.address()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,"
                        + "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":0,"
                        + "\"born\":1760000000000}");
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"one.example\","
                        + "\"prefix\":\"/order/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":"
                        + TIMEOUT_MILLIS
                        + ",\"goal_ms\":100,\"priority\":2,\"service\":\"ledger\","
                        + "\"max_attempts\":1,\"public\":true,\"sticky\":false,"
                        + "\"resumable\":false}],\"services\":[{\"name\":\"ledger\","
                        + "\"health_path\":\"/healthz\",\"max_conns\":248,\"protocol\":\"h1\","
                        + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},\"tenants\":[]}");
        List<String> seeds = List.of(network + "1:" + ports[4], network + "2:" + ports[4]);
        List<Lab.Gateway> machines = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            machines.add(lab.new Gateway("edge-" + i, network + i, "zone-a", ports, seeds));
        }
        for (Lab.Gateway each : machines) {
            each.start(true);
        }
        for (Lab.Gateway each : machines) {
            each.awaitReady(20);
        }
        lab.sleepUntil(lab.now() + 4);
        Lab.Gateway stopped = machines.getFirst();
        double stopAt = lab.now();
        if (lab.hasTrouble) {
            stopped.signal("TERM");
            Lab.start(
                    () -> {
                        // The platform sends SIGKILL after grace_s.
                        lab.sleepUntil(stopAt + GRACE);
                        stopped.kill();
                    });
        }
        lab.sleepUntil(stopAt + 0.3);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.start(() -> send(lab, stopped, stopAt, runEnds, whole, lost)));
        }
        for (Thread each : clients) {
            each.join();
        }
        lab.log(
                "requests "
                        + CLIENTS
                        + ", whole answers "
                        + whole
                        + ", cut although the engine had ended before the last sixth of the grace period "
                        + lost
                        + ", allowed 0");
        return lost.get() == 0;
    }

    private static void send(
            Lab lab,
            Lab.Gateway machine,
            double stopAt,
            Map<String, Double> runEnds,
            AtomicInteger whole,
            AtomicInteger lost)
            throws Exception {
        String attempt = Lab.newAttempt();
        String head =
                "POST /order/1 HTTP/1.1\r\nHost: one.example\r\n"
                        + Lab.PREFIX
                        + "Attempt-Id: "
                        + attempt
                        + "\r\n"
                        + Lab.PREFIX
                        + "Deadline-Ms: "
                        + TIMEOUT_MILLIS
                        + "\r\nContent-Length: 5\r\n\r\norder";
        long bytes = 0;
        String end = "";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(machine.ip, machine.ports[0]), 1_000);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(Lab.bytes(head));
            InputStream in = socket.getInputStream();
            Lab.Message answer = Lab.readHead(in);
            if (answer == null || !answer.first().contains(" 200 ")) {
                throw new IOException("answer " + (answer == null ? "none" : answer.first()));
            }
            boolean isChunked = answer.header("transfer-encoding").equals("chunked");
            double from = lab.now();
            byte[] buffer = new byte[16_384];
            while (bytes < ANSWER_BYTES) {
                int left = isChunked ? chunkSize(in) : ANSWER_BYTES;
                if (left == 0) {
                    break;
                }
                while (left > 0 && bytes < ANSWER_BYTES) {
                    int read = in.read(buffer, 0, Math.min(left, buffer.length));
                    if (read < 0) {
                        throw new EOFException();
                    }
                    left -= read;
                    bytes += read;
                    lab.sleepUntil(from + (double) bytes / BYTES_A_SECOND);
                }
                if (isChunked) {
                    in.read();
                    in.read();
                }
            }
            end = bytes == ANSWER_BYTES ? "whole" : "ended early";
        } catch (IOException e) {
            end = e.toString();
        }
        boolean isWhole = end.equals("whole");
        double runEnd = runEnds.getOrDefault(attempt, Double.MAX_VALUE);
        if (isWhole) {
            whole.incrementAndGet();
        } else if (runEnd < stopAt + GRACE * 5 / 6) {
            lost.incrementAndGet();
        }
        lab.log(
                String.format(
                        "%s: %d bytes, %s, %.3f s after the stop; the engine's part ended %.3f s after it",
                        attempt, bytes, end, lab.now() - stopAt, runEnd - stopAt));
    }

    private static int chunkSize(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                throw new EOFException();
            }
            line.append((char) each);
        }
        return Integer.parseInt(line.toString().strip(), 16);
    }
}
