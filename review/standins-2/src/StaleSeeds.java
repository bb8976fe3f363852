import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Three machines run, and three are added while the machines that their seeds name do not answer. A
 * back end names a limit, which holds for all machines together.
 */
final class StaleSeeds {
    private static final double LIMIT = 2;
    private static final double WINDOW = 4;
    private static final double END = 40;

    /** A request as the back end got it. */
    record Arrival(double at, String machine) {}

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments[0], StaleSeeds::run);
    }

    private static boolean run(Lab lab) throws Exception {
        String network = Lab.network();
        int[] ports = Lab.freePorts();
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        Map<String, String> machineOf = new ConcurrentHashMap<>();
        Map<String, Double> passedOn = new ConcurrentHashMap<>();
        boolean[] namesLimit = new boolean[1];
        double[] firstNamed = {Double.MAX_VALUE};
        for (String id : List.of("i-limited", "i-free")) {
            Lab.Http backEnd =
                    new Lab.Http(
                            "127.0.0.1",
                            0,
                            (request, out, socket) -> {
                                String attempt = request.header(Lab.PREFIX + "Attempt-Id");
                                boolean isLimited = id.equals("i-limited");
                                if (isLimited) {
                                    String machine = machineOf.getOrDefault(attempt, "-");
                                    arrivals.add(new Arrival(lab.now(), machine));
                                    lab.log("i-limited gets " + attempt + " from " + machine);
                                }
                                TimeUnit.MILLISECONDS.sleep(20);
                                Map<String, String> headers = new LinkedHashMap<>();
                                headers.put(Lab.PREFIX + "Attempt-Id", attempt);
                                headers.put(Lab.PREFIX + "Response-Seal", "seal-" + id);
                                if (isLimited && namesLimit[0]) {
                                    headers.put("Server-Limit", String.valueOf(LIMIT));
                                    firstNamed[0] = Math.min(firstNamed[0], lab.now());
                                }
                                Lab.respond(out, 200, headers, Lab.bytes("status of " + id));
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
        List<Lab.Gateway> all = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            all.add(lab.new Gateway("edge-" + i, network + i, zone(i), ports, seeds));
        }
        for (Lab.Gateway each : all) {
            each.start(true);
        }
        for (Lab.Gateway each : all) {
            each.awaitReady(20);
        }
        lab.sleepUntil(lab.now() + 3);
        List<Lab.DeadAddress> dead = new ArrayList<>();
        List<String> seedsOfAdded = seeds;
        if (lab.hasTrouble) {
            seedsOfAdded = new ArrayList<>();
            for (int i = 11; i <= 13; i++) {
                dead.add(new Lab.DeadAddress(network + i, ports[3]));
                seedsOfAdded.add(network + i + ":" + ports[4]);
            }
            lab.log("the seeds of the added machines do not answer: " + seedsOfAdded);
        }
        for (int i = 4; i <= 6; i++) {
            Lab.Gateway added =
                    lab.new Gateway("edge-" + i, network + i, zone(i), ports, seedsOfAdded);
            all.add(added);
            added.start(false);
        }
        for (Lab.Gateway each : all.subList(3, 6)) {
            each.awaitReady(20);
        }
        double readyAt = lab.now();
        lab.sleepUntil(readyAt + 3);
        namesLimit[0] = true;
        lab.log("i-limited names its limit of " + LIMIT + " a second from now on");
        double end = lab.now() + END - 24;
        List<Thread> clients = new ArrayList<>();
        for (Lab.Gateway each : all) {
            clients.add(
                    Lab.start(
                            () -> {
                                while (lab.now() < end) {
                                    Lab.start(() -> send(lab, each, machineOf, passedOn));
                                    TimeUnit.MILLISECONDS.sleep(
                                            ThreadLocalRandom.current().nextInt(100, 200));
                                }
                            }));
        }
        for (Thread each : clients) {
            each.join();
        }
        TimeUnit.MILLISECONDS.sleep(1_200);
        for (Lab.DeadAddress each : dead) {
            each.close();
        }
        return judge(lab, arrivals, passedOn, firstNamed[0]);
    }

    private static String zone(int machine) {
        return "zone-" + (char) ('a' + (machine - 1) % 3);
    }

    private static void send(
            Lab lab,
            Lab.Gateway gateway,
            Map<String, String> machineOf,
            Map<String, Double> passedOn) {
        String attempt = Lab.newAttempt();
        machineOf.put(attempt, gateway.name);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "one.example");
        headers.put(Lab.PREFIX + "Attempt-Id", attempt);
        headers.put(Lab.PREFIX + "Deadline-Ms", "1000");
        Lab.Answer answer =
                lab.call(gateway.front(), "GET", "/status/1", headers, new byte[0], 1_000);
        lab.log(attempt + " at " + gateway.name + ": " + answer.status() + " " + answer.failure());
        if (answer.isWhole() && !answer.message().header("Server-Limit").isEmpty()) {
            passedOn.putIfAbsent(gateway.name, lab.now());
        }
    }

    /** The rule: counted from 3 s after the limit was first named, at machines that know it. */
    private static boolean judge(
            Lab lab, List<Arrival> arrivals, Map<String, Double> passedOn, double firstNamed) {
        lab.log("machines passed the limit on at " + passedOn);
        List<Double> counted =
                arrivals.stream()
                        .filter(each -> each.at() >= firstNamed + 3)
                        .filter(
                                each ->
                                        each.at()
                                                >= passedOn.getOrDefault(
                                                                each.machine(), Double.MAX_VALUE)
                                                        + 0.5)
                        .map(Arrival::at)
                        .sorted()
                        .toList();
        int most = 0;
        for (int i = 0, first = 0; i < counted.size(); i++) {
            while (counted.get(i) - counted.get(first) > WINDOW) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        double allowed = 1.5 * LIMIT * WINDOW + 5;
        lab.log("most requests in " + WINDOW + " s: " + most + ", allowed " + allowed);
        return most <= allowed;
    }
}
