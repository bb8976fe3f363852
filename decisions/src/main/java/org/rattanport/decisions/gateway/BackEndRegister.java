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
public final class BackEndRegister {
    private static final Logger LOGGER = Logger.getLogger(BackEndRegister.class);

    /** Time that live back ends need to register again after the store is back. */
    private static final Duration REGISTER_AGAIN = Duration.ofSeconds(2);

    private final TimeSource mTime;
    private final Map<String, BackEnd> mBackEnds = new HashMap<>();
    private final Map<String, Long> mMissingUntil = new HashMap<>();
    private Optional<Long> mReturnedNanos = Optional.empty();
    private boolean mIsFilled;

    public BackEndRegister(TimeSource time) {
        mTime = time;
    }

    /** Records that the store answers again after it did not. */
    public synchronized void storeReturned() {
        mReturnedNanos = Optional.of(mTime.nanoTime());
    }

    /** Takes the whole register as read from the store. */
    public synchronized void replace(List<BackEnd> listed) {
        Set<String> ids = listed.stream().map(BackEnd::id).collect(Collectors.toSet());
        List<String> missing = mBackEnds.keySet().stream().filter(id -> !ids.contains(id)).toList();
        apply(listed, missing);
        mIsFilled = true;
    }

    /** Takes changes of the register. */
    public synchronized void apply(List<BackEnd> present, List<String> removed) {
        present.forEach(this::put);
        removed.forEach(this::remove);
    }

    private void put(BackEnd backEnd) {
        mMissingUntil.remove(backEnd.id());
        BackEnd before = mBackEnds.put(backEnd.id(), backEnd);
        if (before == null || !before.equals(backEnd)) {
            LOGGER.info(
                    LogLine.of("back-end-known")
                            .with("back_end", backEnd.id())
                            .with("service", backEnd.service())
                            .with("address", backEnd.address())
                            .with("is_leaving", backEnd.isLeaving()));
        }
    }

    private void remove(String id) {
        BackEnd known = mBackEnds.get(id);
        if (known == null) {
            return;
        }
        long now = mTime.nanoTime();
        boolean mayHaveLapsed =
                !known.isLeaving()
                        && mReturnedNanos
                                .filter(at -> now - at < REGISTER_AGAIN.toNanos())
                                .isPresent();
        if (mayHaveLapsed) {
            mMissingUntil.putIfAbsent(id, mReturnedNanos.get() + REGISTER_AGAIN.toNanos());
            return;
        }
        mBackEnds.remove(id);
        writeGone(id, "its entry was removed");
    }

    private static void writeGone(String id, String reason) {
        LOGGER.info(LogLine.of("back-end-gone").with("back_end", id).with("reason", reason));
    }

    private void dropLapsed() {
        long now = mTime.nanoTime();
        List<String> lapsed =
                mMissingUntil.entrySet().stream()
                        .filter(each -> now - each.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        for (String id : lapsed) {
            mMissingUntil.remove(id);
            mBackEnds.remove(id);
            writeGone(id, "it did not register again after an outage of the store");
        }
    }

    /** Drops a back end at whose address another one answers, ahead of its entry. */
    public synchronized void heardOther(BackEnd backEnd) {
        BackEnd known = mBackEnds.get(backEnd.id());
        if (known != null && known.isSameStart(backEnd)) {
            mBackEnds.remove(backEnd.id());
            writeGone(backEnd.id(), "another one answers at its address");
        }
    }

    /** Back ends of the service that take requests. */
    public synchronized List<BackEnd> of(String service) {
        dropLapsed();
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
    public synchronized boolean isFilled() {
        return mIsFilled;
    }
}
