package org.rattanport.benchmark.measure;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.rattanport.connectors.json.Json;
import org.rattanport.connectors.peer.NettyPeerNetwork;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.daemon.command.ExitCode;
import org.rattanport.kernel.settings.InstanceSettings.Timings;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.engine.EngineStandIn;
import org.rattanport.standins.fleet.Fleet;
import org.rattanport.standins.fleet.FleetDocument;

/** Measures the messages, CPU time and memory of instances that serve no requests. */
public final class MeasureControlCommand implements Command {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int READ_TIMEOUT_MILLIS = 500;
    private static final int READ_BUFFER_BYTES = 8192;
    private static final Duration SETTLE_TIME = Duration.ofSeconds(8);

    private static final class Options {
        @Parameter(names = "--sizes", description = "numbers of instances")
        private List<Integer> mSizes = List.of(4, 8, 18, 36);

        @Parameter(names = "--seconds", description = "duration of the measurement of each size")
        private int mSeconds = 20;

        @Parameter(names = "--engines", description = "number of stand-in engines")
        private int mEngines = 23;

        @Parameter(names = "--accounts", description = "number of client accounts in the document")
        private int mAccounts = 10;

        @Parameter(names = "--seed", description = "seed of injected faults")
        private long mSeed = 1;

        @Parameter(names = "--json", description = "print the result as JSON")
        private boolean mIsJson;
    }

    private final Options mOptions = new Options();
    private final TimeSource mTime = new SystemTimeSource();

    @Override
    public String name() {
        return "measure control";
    }

    @Override
    public String summary() {
        return "measure the messages, CPU time and memory of idle instances";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        ObjectNode result = Json.newObject();
        mOptions.mSizes.forEach(size -> result.set(size + " instances", measure(size)));
        ResultPrinter.print(result, mOptions.mIsJson, output);
        return ExitCode.SUCCESS;
    }

    private ObjectNode measure(int size) {
        long heapBefore = heapBytesAfterCollection();
        Fleet.Builder builder =
                Fleet.builder()
                        .instances(size)
                        .engines(mOptions.mEngines, EngineProfile.defaults(1))
                        .timings(Timings.defaults())
                        .seed(mOptions.mSeed)
                        .document(FleetDocument.withAccounts(mOptions.mAccounts));
        long startNanos = mTime.nanoTime();
        try (Fleet fleet = builder.start()) {
            ObjectNode metrics = Json.newObject();
            metrics.put(
                    "seconds_until_all_ready", (mTime.nanoTime() - startNanos) / NANOS_PER_SECOND);
            mTime.sleep(SETTLE_TIME);
            measureIdleCost(fleet, size, metrics);
            metrics.put("heap_bytes_an_instance", (heapBytesAfterCollection() - heapBefore) / size);
            measureExchangeSizes(fleet, metrics);
            return metrics;
        }
    }

    private void measureIdleCost(Fleet fleet, int size, ObjectNode metrics) {
        Counters before = readCounters(fleet);
        mTime.sleep(Duration.ofSeconds(mOptions.mSeconds));
        Counters after = readCounters(fleet);
        double instanceSeconds = (double) size * mOptions.mSeconds;
        metrics.put(
                "peer_received_bytes_a_second",
                (after.receivedBytes() - before.receivedBytes()) / instanceSeconds);
        metrics.put(
                "peer_sent_bytes_a_second",
                (after.sentBytes() - before.sentBytes()) / instanceSeconds);
        metrics.put(
                "load_reads_a_second",
                (after.loadReports() - before.loadReports()) / instanceSeconds);
        metrics.put(
                "store_reads_a_second_all",
                (after.storeReads() - before.storeReads()) * size / instanceSeconds);
        metrics.put(
                "store_writes_a_second_all",
                (after.storeTransactions() - before.storeTransactions()) * size / instanceSeconds);
        metrics.put(
                "cpu_micros_a_second_with_stand_ins",
                (after.cpuNanos() - before.cpuNanos()) / 1000 / instanceSeconds);
    }

    private record Counters(
            long receivedBytes,
            long sentBytes,
            long loadReports,
            long storeReads,
            long storeTransactions,
            double cpuNanos) {}

    private static Counters readCounters(Fleet fleet) {
        var operatingSystem =
                (com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean();
        long received = 0;
        long sent = 0;
        for (Instance instance : fleet.instances()) {
            NettyPeerNetwork network = instance.context().require(NettyPeerNetwork.class);
            received += network.traffic().receivedBytes();
            sent += network.traffic().sentBytes();
        }
        return new Counters(
                received,
                sent,
                fleet.engines().stream().mapToLong(EngineStandIn::loadReportRequests).sum(),
                fleet.table().readCount(),
                fleet.table().transactionCount(),
                operatingSystem.getProcessCpuTime());
    }

    /** Measures the bytes of periodic HTTP exchanges in both directions, without TCP and IP. */
    private static void measureExchangeSizes(Fleet fleet, ObjectNode metrics) {
        metrics.put(
                "bytes_of_one_load_read",
                countExchangedBytes(fleet.engines().getFirst().address(), "/v1/load", ""));
        String list = fleet.instanceList().url().substring("http://".length());
        metrics.put("bytes_of_one_list_read", countExchangedBytes(list, "/instances", ""));
        metrics.put(
                "bytes_of_one_list_read_unchanged",
                countExchangedBytes(list, "/instances", fleet.instanceList().entityTag()));
        String table = fleet.table().url().substring("http://".length());
        metrics.put(
                "bytes_of_one_version_read",
                countExchangedBytes(
                        table,
                        "/row?key=environment/" + FleetDocument.ENVIRONMENT + "/production",
                        ""));
    }

    /** Sends the same request as the HTTP client and counts the bytes of both directions. */
    private static long countExchangedBytes(String address, String path, String entityTag) {
        int colon = address.lastIndexOf(':');
        String conditionHeader = entityTag.isEmpty() ? "" : "If-None-Match: " + entityTag + "\r\n";
        String request =
                "GET "
                        + path
                        + " HTTP/1.1\r\n"
                        + conditionHeader
                        + "Host: "
                        + address
                        + "\r\nConnection: close\r\n\r\n";
        byte[] bytes = request.getBytes(StandardCharsets.US_ASCII);
        try (Socket socket =
                new Socket(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return bytes.length + countBytesUntilTimeout(socket.getInputStream());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Counts bytes until the end or a read timeout, since some servers keep connections open. */
    private static long countBytesUntilTimeout(InputStream input) throws IOException {
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        long count = 0;
        try {
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                count += read;
            }
        } catch (SocketTimeoutException e) {
            return count;
        }
        return count;
    }

    /** Returns the lowest heap usage after any of five garbage collections. */
    private long heapBytesAfterCollection() {
        var memory = ManagementFactory.getMemoryMXBean();
        long usedBytes = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            memory.gc();
            mTime.sleep(Duration.ofMillis(200));
            usedBytes = Math.min(usedBytes, memory.getHeapMemoryUsage().getUsed());
        }
        return usedBytes;
    }
}
