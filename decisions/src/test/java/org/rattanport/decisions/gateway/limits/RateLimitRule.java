package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.gateway.RateLimit;

/** Checks what a back end got against the limits that it named. */
final class RateLimitRule {
    static final Duration WINDOW = Duration.ofSeconds(4);
    private static final double RULE_FACTOR = 1.5;
    private static final int RULE_SLACK = 5;

    /** Time after a back end first names a limit, or a lower one, from which it must hold. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    /**
     * A request that reached the back end.
     *
     * @param isBound whether the rule counts it: its instance was told, and was not frozen lately
     */
    record Arrival(long nanos, String instance, boolean isBound) {}

    /** The limit that the back end names from a moment on. */
    private record Phase(long fromNanos, Optional<RateLimit> limit) {}

    /** The time in which most requests over the limit arrived. */
    record Excess(long windowStartNanos, int arrivals, double allowed) {}

    private final List<Arrival> mArrivals = new ArrayList<>();
    private final List<Phase> mPhases = new ArrayList<>();

    void recordArrival(Arrival arrival) {
        mArrivals.add(arrival);
    }

    /** The back end names this limit from then on, or none. */
    void recordLimit(long nanos, Optional<RateLimit> limit) {
        mPhases.add(new Phase(nanos, limit));
    }

    /** The limit that the back end names now. */
    Optional<RateLimit> limit() {
        return mPhases.getLast().limit();
    }

    long arrivalsSince(long nanos) {
        return mArrivals.stream().filter(each -> each.nanos() >= nanos).count();
    }

    /** The window with the most requests above what the rule allows, if one has too many. */
    Optional<Excess> worstExcess() {
        List<Arrival> told = mArrivals.stream().filter(Arrival::isBound).toList();
        Excess worst = new Excess(0, 0, 0);
        int end = 0;
        for (int start = 0; start < told.size(); start++) {
            long from = told.get(start).nanos();
            while (end < told.size() && told.get(end).nanos() < from + WINDOW.toNanos()) {
                end++;
            }
            Optional<Double> allowed = allowed(from);
            int arrivals = end - start;
            if (allowed.isPresent()
                    && arrivals - allowed.get() > worst.arrivals() - worst.allowed()) {
                worst = new Excess(from, arrivals, allowed.get());
            }
        }
        return Optional.of(worst).filter(each -> each.arrivals() > each.allowed());
    }

    /** Requests that the rule allows in the window; empty if it does not hold in all of it. */
    private Optional<Double> allowed(long from) {
        long step = WINDOW.toNanos() / 40;
        double sum = 0;
        for (int i = 0; i < 40; i++) {
            Optional<Double> rate = enforcedRate(from + i * step);
            if (rate.isEmpty()) {
                return Optional.empty();
            }
            sum += rate.get() * step / 1e9;
        }
        return Optional.of(RULE_FACTOR * sum + RULE_SLACK);
    }

    /** The largest limit within the settling time; empty if there was none at some moment of it. */
    private Optional<Double> enforcedRate(long nanos) {
        double largest = 0;
        for (int i = 0; i < mPhases.size(); i++) {
            Phase phase = mPhases.get(i);
            long until = i + 1 < mPhases.size() ? mPhases.get(i + 1).fromNanos() : Long.MAX_VALUE;
            boolean isWithin =
                    phase.fromNanos() <= nanos && until > nanos - SETTLING_TIME.toNanos();
            if (isWithin && phase.limit().isEmpty()) {
                return Optional.empty();
            }
            if (isWithin) {
                largest = Math.max(largest, phase.limit().get().requestsPerSecond());
            }
        }
        return Optional.of(largest);
    }
}
