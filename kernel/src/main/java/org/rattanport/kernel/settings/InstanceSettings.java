package org.rattanport.kernel.settings;

import java.time.Duration;
import java.util.List;

/**
 * Settings of one entry instance.
 *
 * @param instanceName unique name of the machine
 * @param dataCentre where it runs
 * @param region region of the data centre
 * @param environment environment that it serves
 * @param callerAddress IP and port for callers and operators; port 0 takes a free one
 * @param peerAddress IP and port for other instances; port 0 takes a free one
 * @param peerSecret key that instances prove to each other
 * @param operatorKeyHashes SHA-256 hashes of operator keys, in hexadecimal
 * @param platform addresses of the platform's services
 * @param timings periods and bounds
 */
public record InstanceSettings(
        String instanceName,
        String dataCentre,
        String region,
        String environment,
        String callerAddress,
        String peerAddress,
        String peerSecret,
        List<String> operatorKeyHashes,
        PlatformAddresses platform,
        Timings timings) {

    /** Base addresses, as {@code http://IP:port}. */
    public record PlatformAddresses(String tableService, String objectStore, String instanceList) {}

    /**
     * Periods and bounds of the instance's tasks.
     *
     * @param probePeriod time between probes of members
     * @param probeTimeout time that a probed member has
     * @param suspicionTimeout time that a suspected member has to refute
     * @param listPeriod time between reads of the instance list
     * @param loadPeriod time between reads of an engine's load
     * @param documentPeriod time between reads of the document row
     * @param addressTimeToLive how long callers may keep an address answer
     * @param drainLimit bound on a graceful stop
     */
    public record Timings(
            Duration probePeriod,
            Duration probeTimeout,
            Duration suspicionTimeout,
            Duration listPeriod,
            Duration loadPeriod,
            Duration documentPeriod,
            Duration addressTimeToLive,
            Duration drainLimit) {
        /** Periods that suit today's fleets. */
        public static Timings defaults() {
            return new Timings(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(400),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(120));
        }
    }
}
