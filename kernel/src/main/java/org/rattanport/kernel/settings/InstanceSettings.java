package org.rattanport.kernel.settings;

import java.time.Duration;
import java.util.List;

/**
 * Settings of one entry instance.
 *
 * @param instanceName unique name of the machine
 * @param dataCentre data centre of the machine
 * @param region region of the data centre
 * @param environment name of the environment that the instance serves
 * @param callerAddress IP and port for callers and operators; port 0 selects a free port
 * @param peerAddress IP and port for other instances; port 0 selects a free port
 * @param peerSecret shared secret by which instances authenticate each other
 * @param operatorKeyHashes SHA-256 hashes of operator keys, in hexadecimal
 * @param platform addresses of the platform's services
 * @param timings periods and time limits of the instance's tasks
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
        PlatformBaseUrls platform,
        Timings timings) {

    /** Base URLs of the platform's services, as {@code http://IP:port}. */
    public record PlatformBaseUrls(String tableService, String objectStore, String instanceList) {}

    /**
     * Periods and time limits of the instance's tasks.
     *
     * @param probePeriod time between probes of members
     * @param probeTimeout time within which a probed member must respond
     * @param suspicionTimeout time within which a suspected member must refute the suspicion
     * @param listPeriod time between reads of the instance list
     * @param loadPeriod time between reads of an engine's load
     * @param documentPeriod time between reads of the document row
     * @param addressTimeToLive how long callers may cache a list of addresses
     * @param drainLimit maximum duration of a graceful stop
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
        /** Returns the default periods and time limits. */
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
