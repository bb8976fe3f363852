package org.rattanport.connectors.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.settings.InstanceSettings;

final class SettingsParserTest {
    private static final String VALID =
            """
            {
              "instance_name": "entry-1", "data_centre": "dc-1", "environment": "haneul",
              "caller_address": "127.0.0.1:8080", "peer_address": "127.0.0.1:8081",
              "peer_secret": "a-long-enough-secret", "operator_key_hashes": [],
              "platform": {"table_service": "http://127.0.0.1:1", "object_store":
                "http://127.0.0.1:2", "instance_list": "http://127.0.0.1:3"},
              "timings": {"load_period_millis": 250}
            }
            """;

    @Nested
    final class Parsing {
        @Test
        void shouldApplyDefaultsToMissingFields() {
            InstanceSettings settings = SettingsParser.parse(VALID);
            assertThat(settings.timings().loadPeriod()).isEqualTo(Duration.ofMillis(250));
            assertThat(settings.timings().probePeriod()).isEqualTo(Duration.ofSeconds(1));
        }

        @ParameterizedTest
        @CsvSource({
            "127.0.0.1:8080, 127.0.0.1, /caller_address must be an IP address and a port",
            "127.0.0.1:8081, 127.0.0.1:99999, /peer_address must be an IP address and a port",
            "a-long-enough-secret, short, /peer_secret must have at least 16 characters",
            "http://127.0.0.1:2, ftp://x, /platform/object_store must be a base URL",
            "load_period_millis, load_period, /timings/load_period is not a known field",
            "data_centre, data_center, / lacks the field \"data_centre\""
        })
        void shouldNameTheInvalidField(String valid, String invalid, String expectedError) {
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> SettingsParser.parse(VALID.replace(valid, invalid)));
            assertThat(error).hasMessageThat().contains(expectedError);
        }
    }
}
