package org.rattanport.connectors.caller;

import java.time.Duration;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Reads the time limit that a caller sets in a header. */
final class TimeLimits {
    private static final String HEADER = "Rattanport-Timeout-Seconds";
    private static final double MILLIS_PER_SECOND = 1000;

    private TimeLimits() {}

    static Duration readTimeLimit(
            HttpExchange exchange, EnvironmentDocument document, Duration defaultLimit) {
        Duration maximum = document.limits().maximumTimeLimit();
        Duration limit = exchange.header(HEADER).map(TimeLimits::parse).orElse(defaultLimit);
        if (limit.isNegative() || limit.isZero() || limit.compareTo(maximum) > 0) {
            throw invalid("must be a number of seconds above 0 and at most " + maximum.toSeconds());
        }
        return limit;
    }

    private static Duration parse(String value) {
        try {
            double seconds = Double.parseDouble(value);
            if (!Double.isFinite(seconds)) {
                throw invalid("must be a number of seconds");
            }
            return Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND));
        } catch (NumberFormatException e) {
            throw invalid("must be a number of seconds");
        }
    }

    private static RattanportException invalid(String requirement) {
        return RattanportException.builder(ErrorCode.INVALID_REQUEST, HEADER + " " + requirement)
                .field(HEADER)
                .build();
    }
}
