package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.time.TimeSource;

/**
 * The back ends that take requests. A registration can lapse while the store is away although its
 * back end is well, so what is missing shortly after an outage is only believed to be gone when it
 * stays missing.
 */
public final class BackEndRegistry {
    private static final Logger LOGGER = Logger.getLogger(BackEndRegistry.class);

    /** Time that live back ends need to register again after the store is back. */
    private static final Duration REREGISTRATION_GRACE = Duration.ofSeconds(2);

    private final TimeSource mTime;
    private final Map<String, BackEnd> mBackEnds = new HashMap<>();
    private final Map<String, Long> mRemovalNanos = new HashMap<>();
    private Optional<Long> mStoreRecoveredNanos = Optional.empty();
    private boolean mIsInitialized;

    public BackEndRegistry(TimeSource time) {
        mTime = time;
    }

    /** Records that the store answers again after it did not. */
    public synchronized void storeRecovered() {
        mStoreRecoveredNanos = Optional.of(mTime.nanoTime());
    }

    /** Takes the whole register as read from the store. */
    public synchronized void replace(List<BackEnd> entries) {
        Set<String> ids = entries.stream().map(BackEnd::id).collect(Collectors.toSet());
        List<String> missing = mBackEnds.keySet().stream().filter(id -> !ids.contains(id)).toList();
        apply(entries, missing);
        mIsInitialized = true;
    }

    /** Takes changes of the register. */
    public synchronized void apply(List<BackEnd> present, List<String> removed) {
        present.forEach(this::put);
        removed.forEach(this::remove);
    }

    private void put(BackEnd backEnd) {
        mRemovalNanos.remove(backEnd.id());
        BackEnd previous = mBackEnds.put(backEnd.id(), backEnd);
        if (previous == null || !previous.equals(backEnd)) {
            LOGGER.info(
                    LogLine.of("back-end-known")
                            .with("back_end", backEnd.id())
                            .with("service", backEnd.service())
                            .with("address", backEnd.address())
                            .with("is_leaving", backEnd.isLeaving()));
        }
    }

    private void remove(String id) {
        BackEnd current = mBackEnds.get(id);
        if (current == null) {
            return;
        }
        long now = mTime.nanoTime();
        boolean mayHaveLapsed =
                !current.isLeaving()
                        && mStoreRecoveredNanos
                                .filter(at -> now - at < REREGISTRATION_GRACE.toNanos())
                                .isPresent();
        if (mayHaveLapsed) {
            mRemovalNanos.putIfAbsent(
                    id, mStoreRecoveredNanos.get() + REREGISTRATION_GRACE.toNanos());
            return;
        }
        mBackEnds.remove(id);
        logRemoval(id, "its entry was removed");
    }

    private static void logRemoval(String id, String reason) {
        LOGGER.info(LogLine.of("back-end-gone").with("back_end", id).with("reason", reason));
    }

    private void removeLapsed() {
        long now = mTime.nanoTime();
        List<String> lapsed =
                mRemovalNanos.entrySet().stream()
                        .filter(each -> now - each.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        for (String id : lapsed) {
            mRemovalNanos.remove(id);
            mBackEnds.remove(id);
            logRemoval(id, "it did not register again after an outage of the store");
        }
    }

    /** Drops a back end at whose address another one answers, ahead of its entry. */
    public synchronized void removeReplaced(BackEnd backEnd) {
        BackEnd current = mBackEnds.get(backEnd.id());
        if (current != null && current.isSameStart(backEnd)) {
            mBackEnds.remove(backEnd.id());
            logRemoval(backEnd.id(), "another one answers at its address");
        }
    }

    /** Back ends of the service that take requests. */
    public synchronized List<BackEnd> available(String service) {
        removeLapsed();
        List<BackEnd> found = new ArrayList<>();
        for (BackEnd each : mBackEnds.values()) {
            if (each.service().equals(service) && !each.isLeaving()) {
                found.add(each);
            }
        }
        return found;
    }

    public synchronized Optional<BackEnd> find(String id) {
        return Optional.ofNullable(mBackEnds.get(id));
    }

    /** Whether the register was read at least once. */
    public synchronized boolean isInitialized() {
        return mIsInitialized;
    }
}
