package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.ColdBackEndEvent;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.time.TimeSource;

/**
 * Which back ends are cold by their registry entries, and until when on the monotonic clock of this
 * machine. The newest entry of a run counts, whether it lengthens or shortens the time.
 */
public final class ColdBackEnds {
    private static final Logger LOGGER = Logger.getLogger(ColdBackEnds.class);

    private record Cold(BackEnd entry, long sinceNanos, long untilNanos) {}

    private final TimeSource mTime;
    private final ToDoubleFunction<String> mRequestsPerSecond;
    private final Consumer<ColdBackEndEvent> mOnEvent;
    private final Map<String, Cold> mCold = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param requestsPerSecond requests a second that a cold back end of the named service takes
     *     from all instances together; 0 if there is no bound
     */
    public ColdBackEnds(
            TimeSource time,
            ToDoubleFunction<String> requestsPerSecond,
            Consumer<ColdBackEndEvent> onEvent) {
        mTime = time;
        mRequestsPerSecond = requestsPerSecond;
        mOnEvent = onEvent;
    }

    /** Records the registry entry of a back end; one of an earlier run is ignored. */
    synchronized void recordRegistered(BackEnd entry) {
        List.copyOf(mCold.keySet()).forEach(this::removeEnded);
        Cold known = mCold.get(entry.id());
        if (known != null && known.entry().startWallMillis() < entry.startWallMillis()) {
            end(known, "a later run is registered");
            known = null;
        }
        if (known != null && entry.startWallMillis() < known.entry().startWallMillis()) {
            return;
        }
        if (entry.coldLeft().isPositive()) {
            begin(entry, known == null ? mTime.nanoTime() : known.sinceNanos());
            if (known == null) {
                report(entry);
            }
        } else if (known != null) {
            end(known, "its entry says so");
        }
    }

    private void begin(BackEnd entry, long sinceNanos) {
        long untilNanos = mTime.nanoTime() + entry.coldLeft().toNanos();
        mCold.put(entry.id(), new Cold(entry, sinceNanos, untilNanos));
    }

    private void report(BackEnd entry) {
        LOGGER.info(
                LogLine.of("back-end-cold")
                        .with("back_end", entry.id())
                        .with("service", entry.service())
                        .with("for_millis", entry.coldLeft().toMillis())
                        .with(
                                "requests_per_second",
                                mRequestsPerSecond.applyAsDouble(entry.service())));
        mOnEvent.accept(new ColdBackEndEvent(entry.id(), ColdBackEndEvent.Kind.COLD));
    }

    private void removeEnded(String id) {
        Cold known = mCold.get(id);
        if (known != null && mTime.nanoTime() - known.untilNanos() >= 0) {
            end(known, "the time has passed");
        }
    }

    private void end(Cold known, String reason) {
        mCold.remove(known.entry().id());
        LOGGER.info(
                LogLine.of("back-end-warm")
                        .with("back_end", known.entry().id())
                        .with("service", known.entry().service())
                        .with(
                                "age_millis",
                                Duration.ofNanos(mTime.nanoTime() - known.sinceNanos()).toMillis())
                        .with("reason", reason));
        mOnEvent.accept(new ColdBackEndEvent(known.entry().id(), ColdBackEndEvent.Kind.WARM));
    }

    /** Returns the limit of the back end's run if it is cold and its service has a bound. */
    synchronized Optional<ColdLimit> limit(BackEnd backEnd) {
        return limit(backEnd.id(), backEnd.startWallMillis());
    }

    /** Returns the limit of this run of a back end if it is cold and its service has a bound. */
    synchronized Optional<ColdLimit> limit(String id, long startWallMillis) {
        removeEnded(id);
        Cold known = mCold.get(id);
        if (known == null || known.entry().startWallMillis() < startWallMillis) {
            return Optional.empty();
        }
        double requestsPerSecond = mRequestsPerSecond.applyAsDouble(known.entry().service());
        return requestsPerSecond > 0
                ? Optional.of(
                        new ColdLimit(
                                requestsPerSecond,
                                Duration.ofNanos(known.untilNanos() - mTime.nanoTime())))
                : Optional.empty();
    }
}
