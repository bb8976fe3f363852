package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.RateLimitUpdate;
import org.rattanport.kernel.time.TimeSource;

/**
 * The newest that this instance knows of the rate limits of back ends, from its own responses and
 * from other instances. Of two responses of one run, the one to the request that was written later
 * counts, whichever arrived first.
 */
public final class RateLimitTable {
    private static final Logger LOGGER = Logger.getLogger(RateLimitTable.class);

    /** Limits that no fleet reaches; they cost no requests for tokens. */
    private static final double MAX_ENFORCED_PER_SECOND = 10_000;

    private static final int MAX_ENTRIES = 4_000;
    private static final Duration LIFETIME = Duration.ofMinutes(10);

    /** What one response said. */
    private record Entry(RateLimitUpdate update, ClockReading written) {
        long start() {
            return update.startWallMillis();
        }

        boolean isOfSameResponse(Entry other) {
            return update.source().equals(other.update.source())
                    && update.number() == other.update.number();
        }
    }

    private final TimeSource mTime;
    private final Consumer<RateLimitEvent> mOnEvent;
    private final Map<String, Entry> mEntries = new HashMap<>();

    public RateLimitTable(TimeSource time, Consumer<RateLimitEvent> onEvent) {
        mTime = time;
        mOnEvent = onEvent;
    }

    /** Records an update; returns whether it changes the limit. */
    synchronized boolean record(RateLimitUpdate update) {
        Entry received = new Entry(update, ClockReading.before(mTime, update.age()));
        Entry known = mEntries.get(update.backEndId());
        if (known != null && !isNewer(received, known)) {
            return false;
        }
        removeOldEntries();
        mEntries.put(update.backEndId(), received);
        Optional<RateLimit> previous =
                known == null || known.start() != received.start()
                        ? Optional.empty()
                        : known.update().limit();
        boolean hasChanged = !previous.equals(update.limit());
        if (hasChanged) {
            report(update);
        }
        return hasChanged;
    }

    private boolean isNewer(Entry received, Entry known) {
        if (received.start() != known.start()) {
            return received.start() > known.start();
        }
        if (received.isOfSameResponse(known)) {
            return false;
        }
        int order = received.written().age(mTime).compareTo(known.written().age(mTime));
        return order == 0 ? isStricter(received, known) : order < 0;
    }

    private static boolean isStricter(Entry received, Entry known) {
        return requestsPerSecond(received) < requestsPerSecond(known);
    }

    private static double requestsPerSecond(Entry entry) {
        return entry.update().limit().map(RateLimit::requestsPerSecond).orElse(Double.MAX_VALUE);
    }

    private void removeOldEntries() {
        if (mEntries.size() >= MAX_ENTRIES) {
            mEntries.values().removeIf(each -> each.written().age(mTime).compareTo(LIFETIME) > 0);
        }
    }

    private void report(RateLimitUpdate update) {
        LogLine line =
                LogLine.of(update.limit().isPresent() ? "rate-limit" : "rate-limit-ends")
                        .with("back_end", update.backEndId())
                        .with("source", update.source())
                        .with("age_millis", update.age().toMillis());
        update.limit()
                .ifPresent(limit -> line.with("requests_per_second", limit.requestsPerSecond()));
        LOGGER.info(line);
        mOnEvent.accept(
                new RateLimitEvent(
                        update.backEndId(),
                        update.limit().isPresent()
                                ? RateLimitEvent.Kind.NAMED
                                : RateLimitEvent.Kind.ENDED));
    }

    /** Forgets the limit of an earlier run when a later one is registered. */
    synchronized void recordRegistered(BackEnd backEnd) {
        Entry known = mEntries.get(backEnd.id());
        if (known != null && known.start() < backEnd.startWallMillis()) {
            mEntries.remove(backEnd.id());
            if (known.update().limit().isPresent()) {
                LOGGER.info(
                        LogLine.of("rate-limit-ends")
                                .with("back_end", backEnd.id())
                                .with("reason", "a later run is registered"));
                mOnEvent.accept(new RateLimitEvent(backEnd.id(), RateLimitEvent.Kind.ENDED));
            }
        }
    }

    /** Returns what is known of the back end's run, if it has a limit that must be enforced. */
    synchronized Optional<RateLimitUpdate> limited(BackEnd backEnd) {
        return known(backEnd.id())
                .filter(each -> each.startWallMillis() >= backEnd.startWallMillis())
                .filter(RateLimitTable::isEnforced);
    }

    static boolean isEnforced(RateLimitUpdate update) {
        return update.limit()
                .filter(limit -> limit.requestsPerSecond() < MAX_ENFORCED_PER_SECOND)
                .isPresent();
    }

    /** Returns the newest update about the back end, with its age as of now. */
    synchronized Optional<RateLimitUpdate> known(String backEndId) {
        return Optional.ofNullable(mEntries.get(backEndId))
                .map(
                        each ->
                                new RateLimitUpdate(
                                        backEndId,
                                        each.start(),
                                        each.update().limit(),
                                        each.update().source(),
                                        each.update().number(),
                                        each.written().age(mTime)));
    }
}
