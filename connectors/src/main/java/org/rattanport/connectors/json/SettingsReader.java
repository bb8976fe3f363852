package org.rattanport.connectors.json;

import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.InstanceSettings.PlatformAddresses;
import org.rattanport.kernel.settings.InstanceSettings.Timings;

/** Reads the settings of an instance: JSON with comments, checked as a whole. */
public final class SettingsReader {
    private static final int HOUR_MILLIS = 3_600_000;
    private static final int SHORTEST_SECRET = 16;

    private SettingsReader() {}

    /**
     * Parses settings.
     *
     * @throws org.rattanport.kernel.error.RattanportException {@code INVALID_SETTINGS}; the message
     *     has one line for each fault
     */
    public static InstanceSettings parse(String text) {
        return CommentedFile.read(text, ErrorCode.INVALID_SETTINGS, SettingsReader::settings);
    }

    private static InstanceSettings settings(Fields fields) {
        InstanceSettings settings =
                new InstanceSettings(
                        fields.text("instance_name"),
                        fields.text("data_centre"),
                        fields.text("region", ""),
                        fields.text("environment"),
                        address(fields, "caller_address"),
                        address(fields, "peer_address"),
                        fields.text("peer_secret"),
                        fields.texts("operator_key_hashes"),
                        fields.object("platform", SettingsReader::platform),
                        fields.object("timings", SettingsReader::timings));
        if (settings.peerSecret().length() < SHORTEST_SECRET) {
            fields.fault("peer_secret", "must have at least " + SHORTEST_SECRET + " characters");
        }
        return settings;
    }

    private static String address(Fields fields, String name) {
        String value = fields.text(name);
        int colon = value.lastIndexOf(':');
        boolean isPortValid =
                colon > 0
                        && value.substring(colon + 1).matches("[0-9]{1,5}")
                        && Integer.parseInt(value.substring(colon + 1)) <= 65_535;
        if (!value.isEmpty() && !isPortValid) {
            fields.fault(name, "must be an IP number and a port, as 127.0.0.1:8080");
        }
        return value;
    }

    private static PlatformAddresses platform(Fields fields) {
        return new PlatformAddresses(
                url(fields, "table_service"),
                url(fields, "object_store"),
                url(fields, "instance_list"));
    }

    private static String url(Fields fields, String name) {
        String value = fields.text(name);
        if (!value.isEmpty() && !value.matches("https?://[^/]+")) {
            fields.fault(name, "must be a base address, as http://127.0.0.1:9000");
        }
        return value;
    }

    private static Timings timings(Fields fields) {
        Timings standard = Timings.defaults();
        return new Timings(
                fields.millis("probe_period_millis", 10, HOUR_MILLIS, standard.probePeriod()),
                fields.millis("probe_timeout_millis", 10, HOUR_MILLIS, standard.probeTimeout()),
                fields.millis(
                        "suspicion_timeout_millis", 10, HOUR_MILLIS, standard.suspicionTimeout()),
                fields.millis("list_period_millis", 10, HOUR_MILLIS, standard.listPeriod()),
                fields.millis("load_period_millis", 10, HOUR_MILLIS, standard.loadPeriod()),
                fields.millis("document_period_millis", 10, HOUR_MILLIS, standard.documentPeriod()),
                fields.millis(
                        "address_time_to_live_millis",
                        0,
                        HOUR_MILLIS,
                        standard.addressTimeToLive()),
                fields.millis("drain_limit_millis", 0, HOUR_MILLIS, standard.drainLimit()));
    }
}
