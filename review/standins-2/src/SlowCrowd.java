import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients of one machine read their answers slowly, while others ask for short ones. */
final class SlowCrowd {
    private static final int SLOW_CLIENTS = 700;
    private static final double SLOW_FROM = 5;
    private static final double SLOW_FOR = 23;
    private static final int REPORT_BYTES = 1_200_000;
    private static final int BYTES_A_SECOND = 25_000;
    private static final int RECEIVE_BUFFER_BYTES = 32_768;
    private static final int REPORT_TIMEOUT_MILLIS = 100_000;
    private static final int REPORT_ENGINES = 21;

    private static final int STATUS_CLIENTS = 40;
    private static final double STATUS_PERIOD = 1;
    private static final double STATUS_UNTIL = 50;
    private static final int STATUS_BYTES = 800;
    private static final int STATUS_TIMEOUT_MILLIS = 2_000;
    private static final int STATUS_ENGINES = 3;
    private static final double SLACK = 0.5;

    /** Time for which a client waits for a status, longer than the rule asks for. */
    private static final int PATIENCE_MILLIS = 6_000;

    /** As few requests may be late by chance; the rule names no number. */
    private static final int FEWEST_JUDGED = 8;

    private static final byte[] REPORT = new byte[REPORT_BYTES];
    private static final byte[] STATUS = new byte[STATUS_BYTES];

    /** A status request; the status is 0 without a whole answer. */
    private record Sent(String attempt, double at, double end, int status, String failure) {}

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], SlowCrowd::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        AtomicInteger reportsSent = new AtomicInteger();
        for (int i = 1; i <= REPORT_ENGINES + STATUS_ENGINES; i++) {
            putEngine(lab, i, ran, reportsSent);
        }
        lab.store.put("op", "config", config());
        String network = Lab.network();
        int[] ports = Lab.freePorts();
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
        Lab.Gateway machine = machines.getFirst();
        double begin = lab.now();
        Queue<Sent> statuses = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STATUS_CLIENTS; i++) {
            double first = begin + i * STATUS_PERIOD / STATUS_CLIENTS;
            clients.add(
                    Lab.start(() -> askForStatus(lab, machine, first, begin + STATUS_UNTIL, statuses)));
        }
        AtomicInteger reading = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            double at = begin + SLOW_FROM + i * SLOW_FOR / SLOW_CLIENTS;
            Lab.start(() -> readReport(lab, machine, at, reading, whole, cut));
        }
        for (double at = begin; at < begin + STATUS_UNTIL; at += 3) {
            lab.sleepUntil(at);
            lab.log(
                    String.format(
                            "%.0f s: %d clients read reports, %d have read theirs, %d were cut; engines"
                                    + " have sent %d whole reports; the process %s, is %s, %s",
                            at - begin,
                            reading.get(),
                            whole.get(),
                            cut.get(),
                            reportsSent.get(),
                            machine.process.isAlive() ? "lives" : "has ended",
                            machine.isReady() ? "ready" : "not ready",
                            memory(machine)));
        }
        for (Thread each : clients) {
            each.join();
        }
        lab.log(
                "the log of the process has OutOfMemoryError "
                        + (machine.output().split("OutOfMemoryError", -1).length - 1)
                        + " times");
        return holds(lab, machine, begin, ran, statuses);
    }

    private static boolean holds(
            Lab lab, Lab.Gateway machine, double begin, Set<String> ran, Queue<Sent> statuses) {
        double timeout = STATUS_TIMEOUT_MILLIS / 1e3;
        int unanswered = 0;
        int stillUnanswered = 0;
        for (Sent each : statuses) {
            double seconds = each.end() - each.at();
            boolean isLate = seconds > timeout;
            // An exchange that ended without an answer before the timeout is not counted.
            if (isLate) {
                unanswered++;
            }
            if (isLate && seconds > timeout + SLACK) {
                stillUnanswered++;
            }
            lab.log(
                    String.format(
                            "%s sent at %.3f s, %s after %.3f s%s%s",
                            each.attempt(),
                            each.at() - begin,
                            each.status() == 0 ? "no answer (" + each.failure() + ")" : each.status(),
                            seconds,
                            ran.contains(each.attempt()) ? ", has run" : ", has not run",
                            isLate ? ", unanswered at the timeout" : ""));
        }
        lab.log(
                "status requests "
                        + statuses.size()
                        + ", unanswered at the timeout of their route "
                        + unanswered
                        + ", of them without an answer 0.5 s later "
                        + stillUnanswered
                        + ", allowed "
                        + unanswered / 2);
        boolean isBroken = unanswered >= FEWEST_JUDGED && stillUnanswered * 2 > unanswered;
        return machine.process.isAlive() && !isBroken;
    }

    private static String memory(Lab.Gateway machine) throws IOException {
        Path status = Path.of("/proc/" + machine.process.pid() + "/status");
        if (!Files.exists(status)) {
            return "memory unknown";
        }
        return Files.readAllLines(status).stream()
                .filter(each -> each.startsWith("VmRSS"))
                .findFirst()
                .orElse("memory unknown")
                .replaceAll("\\s+", " ");
    }

    private static void putEngine(
            Lab lab, int number, Set<String> ran, AtomicInteger reportsSent) throws IOException {
        boolean hasReports = number <= REPORT_ENGINES;
        String name = "i-" + number;
        Lab.Http engine =
                new Lab.Http(
                        "127.0.0.1",
                        0,
                        (request, out, socket) -> {
                            String attempt = request.header(Lab.PREFIX + "Attempt-Id");
                            Map<String, String> headers =
                                    Map.of(
                                            Lab.PREFIX + "Attempt-Id",
                                            attempt,
                                            Lab.PREFIX + "Response-Seal",
                                            "seal-" + name);
                            if (request.path().equals("/healthz")) {
                                Lab.respond(out, 200, Map.of(), new byte[0]);
                                return;
                            }
                            ran.add(attempt);
                            TimeUnit.MILLISECONDS.sleep(5);
                            if (!hasReports) {
                                Lab.respond(out, 200, headers, STATUS);
                                return;
                            }
                            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
                            headers.forEach(
                                    (header, value) -> head.append(header + ": " + value + "\r\n"));
                            head.append("Content-Length: " + REPORT_BYTES + "\r\n\r\n");
                            out.write(Lab.bytes(head.toString()));
                            out.write(REPORT);
                            out.flush();
                            reportsSent.incrementAndGet();
                        });
        lab.store.put(
                "servers",
                name,
                "{\"service\":\""
                        + (hasReports ? "reports" : "status")
                        + "\",\"address\":\""
                        + engine.address()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":"
                        + (hasReports ? 11 : 6)
                        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":0,"
                        + "\"born\":1760000000000}");
    }

    private static String config() {
        return "{\"version\":7,\"routes\":["
                + route("reports", REPORT_TIMEOUT_MILLIS)
                + ","
                + route("status", STATUS_TIMEOUT_MILLIS)
                + "],\"services\":["
                + service("reports", 616)
                + ","
                + service("status", 248)
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    private static String route(String service, int timeoutMillis) {
        return "{\"name\":\"r-"
                + service
                + "\",\"host\":\"one.example\",\"prefix\":\"/"
                + service
                + "/\",\"route_kind\":\"idempotent\",\"timeout_ms\":"
                + timeoutMillis
                + ",\"goal_ms\":100,\"priority\":2,\"service\":\""
                + service
                + "\",\"max_attempts\":2,\"public\":true,\"sticky\":false,\"resumable\":false}";
    }

    private static String service(String name, int maxConnections) {
        return "{\"name\":\""
                + name
                + "\",\"health_path\":\"/healthz\",\"max_conns\":"
                + maxConnections
                + ",\"protocol\":\"h1\",\"tls\":false}";
    }

    private static byte[] request(String attempt, String target, int deadlineMillis) {
        return Lab.bytes(
                "GET "
                        + target
                        + " HTTP/1.1\r\nHost: one.example\r\n"
                        + Lab.PREFIX
                        + "Attempt-Id: "
                        + attempt
                        + "\r\n"
                        + Lab.PREFIX
                        + "Deadline-Ms: "
                        + deadlineMillis
                        + "\r\n\r\n");
    }

    /** Reads one report, slowly where there is trouble. */
    private static void readReport(
            Lab lab,
            Lab.Gateway machine,
            double at,
            AtomicInteger reading,
            AtomicInteger whole,
            AtomicInteger cut)
            throws Exception {
        lab.sleepUntil(at);
        String attempt = Lab.newAttempt();
        String end;
        long bytes = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(machine.ip, machine.ports[0]), 3_000);
            socket.setSoTimeout(REPORT_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(request(attempt, "/reports/" + attempt, REPORT_TIMEOUT_MILLIS));
            InputStream in = socket.getInputStream();
            Lab.Message head = Lab.readHead(in);
            if (head == null) {
                throw new IOException("closed without an answer");
            }
            if (!head.first().contains(" 200 ")) {
                lab.log("report " + attempt + ": " + head.first());
                return;
            }
            reading.incrementAndGet();
            try {
                double from = lab.now();
                byte[] buffer = new byte[4_096];
                // Where the answer comes in chunks, their frames count too; that is close enough.
                while (bytes < REPORT_BYTES) {
                    int read = in.read(buffer);
                    if (read < 0) {
                        throw new IOException("ended early");
                    }
                    bytes += read;
                    if (lab.hasTrouble) {
                        lab.sleepUntil(from + (double) bytes / BYTES_A_SECOND);
                    }
                }
            } finally {
                reading.decrementAndGet();
            }
            whole.incrementAndGet();
            end = "whole";
        } catch (IOException e) {
            cut.incrementAndGet();
            end = e.toString();
        }
        lab.log("report " + attempt + ": " + bytes + " bytes, " + end);
    }

    /** Asks again and again on a connection that is kept. */
    private static void askForStatus(
            Lab lab, Lab.Gateway machine, double first, double until, Queue<Sent> statuses)
            throws Exception {
        double next = first;
        while (next < until) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(machine.ip, machine.ports[0]), 2_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MILLIS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean isOpen = true;
                while (isOpen && next < until) {
                    lab.sleepUntil(next);
                    Sent sent = exchange(lab, socket, in);
                    statuses.add(sent);
                    next = Math.max(next + STATUS_PERIOD, sent.end());
                    isOpen = sent.status() != 0;
                }
            } catch (IOException e) {
                next = lab.now() + STATUS_PERIOD;
            }
        }
    }

    private static Sent exchange(Lab lab, Socket socket, InputStream in) {
        String attempt = Lab.newAttempt();
        double at = lab.now();
        int status = 0;
        String failure = "";
        try {
            socket.getOutputStream().write(request(attempt, "/status/1", PATIENCE_MILLIS));
            Lab.Message answer = Lab.read(in);
            if (answer == null) {
                failure = "closed";
            } else {
                status = Integer.parseInt(answer.first().split(" ")[1]);
            }
        } catch (SocketTimeoutException e) {
            failure = "waited";
        } catch (IOException e) {
            failure = e.toString();
        }
        return new Sent(attempt, at, lab.now(), status, failure);
    }
}
