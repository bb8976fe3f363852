package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Checks which base URLs of services the settings accept. */
final class BaseUrlTest {
    @Nested
    final class Parsing {
        @ParameterizedTest
        @CsvSource({
            "http://10.0.0.1:80, 10.0.0.1:80, /rows",
            "http://10.0.0.1:80/, 10.0.0.1:80, /rows",
            "http://10.0.0.1:80/store, 10.0.0.1:80, /store/rows"
        })
        void shouldPrependItsPathToRequestPaths(String url, String address, String requestTarget) {
            HttpClientRequest request = BaseUrl.parse(url).request("/rows").get();
            assertThat(request.address()).isEqualTo(address);
            assertThat(request.requestTarget()).isEqualTo(requestTarget);
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "10.0.0.1:80", "https://10.0.0.1:80", "http://10.0.0.1", "a b"})
        void shouldRejectAnInvalidUrlWithAClearError(String url) {
            RattanportException error =
                    assertThrows(RattanportException.class, () -> BaseUrl.parse(url));
            assertThat(error.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
            assertThat(error).hasMessageThat().contains("http://IP:port");
        }
    }
}
