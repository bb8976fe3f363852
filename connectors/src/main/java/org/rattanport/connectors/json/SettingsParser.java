package org.rattanport.connectors.json;

import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.InstanceSettings.PlatformBaseUrls;
import org.rattanport.kernel.settings.InstanceSettings.Timings;

/** Parses the settings of an instance, which are JSON with comments, and validates them. */
public final class SettingsParser {
    private static final int MAX_TIMING_MILLIS = 3_600_000;
    private static final int MIN_SECRET_CHARACTERS = 16;

    private SettingsParser() {}

    /**
     * Parses settings.
     *
     * @throws org.rattanport.kernel.error.RattanportException {@code INVALID_SETTINGS}; the message
     *     has one line for each error
     */
    public static InstanceSettings parse(String json) {
        return CommentedJsonParser.parse(
                json, ErrorCode.INVALID_SETTINGS, SettingsParser::readSettings);
    }

    private static InstanceSettings readSettings(JsonObjectReader object) {
        InstanceSettings settings =
                new InstanceSettings(
                        object.string("instance_name"),
                        object.string("data_centre"),
                        object.string("region", ""),
                        object.string("environment"),
                        readAddress(object, "caller_address"),
                        readAddress(object, "peer_address"),
                        object.string("peer_secret"),
                        object.strings("operator_key_hashes"),
                        object.object("platform", SettingsParser::readPlatform),
                        object.object("timings", SettingsParser::readTimings));
        if (settings.peerSecret().length() < MIN_SECRET_CHARACTERS) {
            object.addError(
                    "peer_secret", "must have at least " + MIN_SECRET_CHARACTERS + " characters");
        }
        return settings;
    }

    private static String readAddress(JsonObjectReader object, String name) {
        String value = object.string(name);
        int colon = value.lastIndexOf(':');
        boolean isPortValid =
                colon > 0
                        && value.substring(colon + 1).matches("[0-9]{1,5}")
                        && Integer.parseInt(value.substring(colon + 1)) <= 65_535;
        if (!value.isEmpty() && !isPortValid) {
            object.addError(name, "must be an IP address and a port, such as 127.0.0.1:8080");
        }
        return value;
    }

    private static PlatformBaseUrls readPlatform(JsonObjectReader object) {
        return new PlatformBaseUrls(
                readBaseUrl(object, "table_service"),
                readBaseUrl(object, "object_store"),
                readBaseUrl(object, "instance_list"));
    }

    private static String readBaseUrl(JsonObjectReader object, String name) {
        String value = object.string(name);
        if (!value.isEmpty() && !value.matches("https?://[^/]+")) {
            object.addError(name, "must be a base URL, such as http://127.0.0.1:9000");
        }
        return value;
    }

    private static Timings readTimings(JsonObjectReader object) {
        Timings defaults = Timings.defaults();
        return new Timings(
                object.millis("probe_period_millis", 10, MAX_TIMING_MILLIS, defaults.probePeriod()),
                object.millis(
                        "probe_timeout_millis", 10, MAX_TIMING_MILLIS, defaults.probeTimeout()),
                object.millis(
                        "suspicion_timeout_millis",
                        10,
                        MAX_TIMING_MILLIS,
                        defaults.suspicionTimeout()),
                object.millis("list_period_millis", 10, MAX_TIMING_MILLIS, defaults.listPeriod()),
                object.millis("load_period_millis", 10, MAX_TIMING_MILLIS, defaults.loadPeriod()),
                object.millis(
                        "document_period_millis", 10, MAX_TIMING_MILLIS, defaults.documentPeriod()),
                object.millis(
                        "address_time_to_live_millis",
                        0,
                        MAX_TIMING_MILLIS,
                        defaults.addressTimeToLive()),
                object.millis("drain_limit_millis", 0, MAX_TIMING_MILLIS, defaults.drainLimit()));
    }
}
