package org.rattanport.connectors.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

final class EnvironmentDocumentParsingTest {
    private static final String HASH = "ab".repeat(32);
    private static final String VALID =
            """
            {
              // Comments are allowed.
              "name": "haneul",
              "models": [{"name": "assistant", "maximum_prompt_tokens": 1000000}],
              "length_classes": [
                {"name": "short", "maximum_prompt_tokens": 8000, "engine_share_percent": 60,
                 "time_limit_seconds": 30},
                {"name": "long", "maximum_prompt_tokens": 1000000, "engine_share_percent": 40,
                 "time_limit_seconds": 300},
              ],
              "services": [{"name": "dispatch", "operations": [
                {"name": "lock-out", "is_idempotent": false, "time_limit_seconds": 10}]}],
              "accounts": [{"name": "inspectors", "key_hashes": ["%s"],
                "tokens_per_second": 1000, "burst_tokens": 5000, "priority": 5}],
              "limits": {"maximum_time_limit_seconds": 600, "maximum_output_tokens": 4096,
                "queued_tokens": 1000000}
            }
            """
                    .formatted(HASH);

    private final JsonDocumentParser mParser = new JsonDocumentParser();

    @Nested
    final class Parsing {
        @Test
        void shouldAcceptCommentsAndApplyDefaults() {
            EnvironmentDocument document = mParser.parse(VALID);
            assertThat(document.name()).isEqualTo("haneul");
            assertThat(document.lengthClass(8_001).name()).isEqualTo("long");
            assertThat(document.limits().maximumTargetDeathsPerRequest()).isEqualTo(2);
        }
    }

    @Nested
    final class Rejecting {
        @Test
        void shouldReportEveryErrorWithItsLineAndPath() {
            String invalid =
                    VALID.replace("\"engine_share_percent\": 60", "\"engine_share_percent\": 160")
                            .replace("\"is_idempotent\": false", "\"is_idempotent\": \"no\"")
                            .replace(HASH, "secret")
                            .replace("\"burst_tokens\": 5000", "\"burst\": 5000")
                            .replace("\"name\": \"long\"", "\"name\": \"\"");
            Approvals.verify(errorsOf(invalid));
        }

        @Test
        void shouldReportADuplicateField() {
            String invalid =
                    VALID.replace("\"name\": \"haneul\",", "\"name\": \"a\", \"name\": \"b\",");
            assertThat(errorsOf(invalid)).contains("Duplicate field 'name'");
        }

        @Test
        void shouldReportTheLineOfASyntaxError() {
            assertThat(errorsOf("{\n  \"name\": \n}")).contains("line 3");
        }

        @Test
        void shouldRejectTwoAccountsWithTheSameKey() {
            String account = VALID.substring(VALID.indexOf("{\"name\": \"inspectors\""));
            account = account.substring(0, account.indexOf("}") + 1);
            String invalid =
                    VALID.replace(account, account + ", " + account.replace("inspectors", "two"));
            assertThat(errorsOf(invalid))
                    .contains("/accounts contains \"" + HASH + "\" more than once");
        }

        private String errorsOf(String document) {
            RattanportException error =
                    assertThrows(RattanportException.class, () -> mParser.parse(document));
            assertThat(error.code()).isEqualTo(ErrorCode.INVALID_DOCUMENT);
            return String.valueOf(error.getMessage());
        }
    }
}
