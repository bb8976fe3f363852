package org.rattanport.connectors.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.model.TargetId;

final class HttpInstanceListTest {
    private static String entry(String name, String kind, String address) {
        return ("{\"name\":\"%s\",\"incarnation\":3,\"kind\":\"%s\",\"pool\":\"p\","
                        + "\"address\":\"%s\"}")
                .formatted(name, kind, address);
    }

    @Nested
    final class OddEntries {
        @Test
        void shouldNotHideTheOtherTargets() {
            String list =
                    "{\"targets\":["
                            + String.join(
                                    ",",
                                    entry("sound", "ENGINE", "10.0.0.1:80"),
                                    entry("other-kind", "TOASTER", "10.0.0.1:80"),
                                    entry("no-port", "ENGINE", "10.0.0.1"),
                                    entry("large-port", "ENGINE", "10.0.0.1:99999"),
                                    "7",
                                    "null",
                                    entry("last", "SERVICE", "10.0.0.2:80"))
                            + "]}";
            assertThat(
                            HttpInstanceList.listing(
                                            Json.parseObject(list.getBytes(StandardCharsets.UTF_8)))
                                    .targets()
                                    .stream()
                                    .map(target -> target.id()))
                    .containsExactly(new TargetId("sound", 3), new TargetId("last", 3))
                    .inOrder();
        }
    }
}
