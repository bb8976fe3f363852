package org.rattanport.decisions.gateway.discovery;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EvacuationChange;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.FleetSource.OperatorChange;
import org.rattanport.kernel.gateway.FleetUpdate.EvacuationUpdate;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.time.TimeSource;

/**
 * The data centres that the operator has evacuated, as of a position of the store. Their back ends
 * get no requests, and no back end gets one before the evacuations are known. In the first seconds
 * of a store's era, an evacuation that was known before ends only when its row is removed, because
 * a copy may lack it. Once an evacuation has ended, requests return to the idle back ends over some
 * seconds, as each instance uses each of them after another delay.
 */
public final class EvacuatedDataCentres implements RequestGate {
    private static final Logger LOGGER = Logger.getLogger(EvacuatedDataCentres.class);

    /** Time within which the operator writes the rows again that a restored store lacks. */
    private static final Duration REWRITE_TIME = Duration.ofSeconds(6);

    /**
     * Time over which requests return to a data centre. Changes of the store must be in force after
     * three seconds, of which up to one passes until the change is known.
     */
    private static final Duration RETURN_TIME = Duration.ofSeconds(2);

    private final String mInstance;
    private final Consumer<EvacuationChange> mOnChange;
    private final TimeSource mTime;

    /** Data centres of the back ends of each service. */
    private final Map<String, Set<String>> mDataCentres = new HashMap<>();

    /** Data centres whose rows a new era lacks, and until when they stay evacuated. */
    private final Map<String, Long> mRetainedUntilNanos = new HashMap<>();

    /** Data centres to which requests return, and since when. */
    private final Map<String, Long> mReturnNanos = new HashMap<>();

    private boolean mIsKnown;
    private Set<String> mListed = Set.of();

    /** Position of the store that the list is as of. */
    private StorePosition mPosition = StorePosition.UNREAD;

    /** Position at which the list or the era last changed. */
    private StorePosition mChangePosition = StorePosition.UNREAD;

    /** When the first instance read the latest change. */
    private long mChangeNanos;

    private Origin mChangeOrigin = Origin.STORE;

    /** When this instance learned that the store was restored from a copy. */
    private Optional<Long> mRestoredNanos = Optional.empty();

    /**
     * Creates a gate that accepts no requests before the evacuations are known.
     *
     * @param instance name of this instance, which determines when it uses which back end again
     */
    public EvacuatedDataCentres(
            String instance, Consumer<EvacuationChange> onChange, TimeSource time) {
        mInstance = instance;
        mOnChange = onChange;
        mTime = time;
    }

    /** Applies what this instance has read from the store; returns whether anything changed. */
    synchronized boolean record(OperatorChange change) {
        if (change.isFull()) {
            return record(new Evacuations(change.position(), change.evacuated()), Origin.STORE);
        }
        if (change.position().era() != mPosition.era() || !change.position().isAfter(mPosition)) {
            return false;
        }
        removeLapsed();
        Set<String> listed = new HashSet<>(mListed);
        listed.addAll(change.evacuated());
        listed.removeAll(change.ended());
        Set<String> before = evacuated();
        mRetainedUntilNanos.keySet().removeAll(change.ended());
        return apply(new Evacuations(change.position(), listed), before, Origin.STORE);
    }

    /** Applies a full list of evacuations; returns whether anything changed. */
    public synchronized boolean record(Evacuations evacuations, Origin origin) {
        if (mPosition.isAfter(evacuations.position())) {
            return false;
        }
        removeLapsed();
        boolean isNewEra = mIsKnown && evacuations.position().era() != mPosition.era();
        if (isNewEra || isFromBeforeEra(evacuations.position())) {
            mRestoredNanos = Optional.of(mTime.nanoTime());
        }
        Set<String> before = evacuated();
        mRestoredNanos
                .map(at -> at + REWRITE_TIME.toNanos())
                .filter(until -> mTime.nanoTime() - until < 0)
                .ifPresent(until -> retain(before, evacuations.dataCentres(), until));
        return apply(evacuations, before, origin);
    }

    /** Whether the list is of evacuations that were known before the store was restored. */
    private static boolean isFromBeforeEra(StorePosition position) {
        return position.version() < 0;
    }

    private void retain(Set<String> known, Set<String> listed, long untilNanos) {
        known.stream()
                .filter(each -> !listed.contains(each))
                .forEach(each -> mRetainedUntilNanos.put(each, untilNanos));
    }

    private boolean apply(Evacuations evacuations, Set<String> before, Origin origin) {
        boolean hasChanged =
                !mIsKnown
                        || evacuations.position().era() != mPosition.era()
                        || !evacuations.dataCentres().equals(mListed);
        mIsKnown = true;
        mPosition = evacuations.position();
        mListed = Set.copyOf(evacuations.dataCentres());
        if (hasChanged) {
            mChangePosition = mPosition;
            mChangeNanos = mTime.nanoTime() - origin.age().toNanos();
            mChangeOrigin = origin;
        }
        recordDifference(before, evacuated(), origin);
        return hasChanged;
    }

    private void recordDifference(Set<String> before, Set<String> after, Origin origin) {
        for (String each : after) {
            if (!before.contains(each)) {
                mReturnNanos.remove(each);
                publish("evacuation", new EvacuationChange(each, true, after.size(), origin));
            }
        }
        for (String each : before) {
            if (!after.contains(each)) {
                mReturnNanos.put(each, mTime.nanoTime());
                publish("evacuation-ends", new EvacuationChange(each, false, after.size(), origin));
            }
        }
    }

    private void publish(String event, EvacuationChange change) {
        LOGGER.info(
                LogLine.of(event)
                        .with("data_centre", change.dataCentre())
                        .with("version", mPosition.version())
                        .with("source", change.origin().source())
                        .with("age_millis", change.origin().age().toMillis()));
        mOnChange.accept(change);
    }

    /** Returns the names of all evacuated data centres. */
    private Set<String> evacuated() {
        Set<String> all = new HashSet<>(mListed);
        all.addAll(mRetainedUntilNanos.keySet());
        return all;
    }

    private boolean isEvacuated(String dataCentre) {
        return mListed.contains(dataCentre) || mRetainedUntilNanos.containsKey(dataCentre);
    }

    /** Ends the evacuations whose rows were not written again after a restore. */
    private void removeLapsed() {
        if (mRetainedUntilNanos.isEmpty()) {
            return;
        }
        long now = mTime.nanoTime();
        Set<String> before = evacuated();
        if (mRetainedUntilNanos.values().removeIf(until -> now - until >= 0)) {
            Duration age = Duration.ofNanos(now - mChangeNanos);
            recordDifference(before, evacuated(), new Origin(mChangeOrigin.source(), age));
        }
    }

    /** Whether the evacuations were read, by this instance or by another one. */
    public synchronized boolean isKnown() {
        return mIsKnown;
    }

    /** Position of the store that the evacuations are as of. */
    synchronized StorePosition position() {
        return mPosition;
    }

    /**
     * Returns the evacuations if they have changed after the position. An instance that knows none
     * first gets those too that a restored store lacks, as of before the era. It then gets the list
     * as of now and treats the others as this instance does.
     */
    synchronized Optional<EvacuationUpdate> since(StorePosition position) {
        removeLapsed();
        if (!mChangePosition.isAfter(position)) {
            return Optional.empty();
        }
        boolean needsRetained =
                position.equals(StorePosition.UNREAD) && !mRetainedUntilNanos.isEmpty();
        Evacuations evacuations =
                needsRetained
                        ? new Evacuations(
                                new StorePosition(mPosition.era(), StorePosition.UNREAD.version()),
                                evacuated())
                        : new Evacuations(mPosition, mListed);
        long ageNanos = mTime.nanoTime() - mChangeNanos;
        return Optional.of(
                new EvacuationUpdate(evacuations, Duration.ofNanos(ageNanos).toMillis()));
    }

    /** Whether the back end is in an evacuated data centre. */
    public synchronized boolean isEvacuated(BackEnd backEnd) {
        removeLapsed();
        return isEvacuated(backEnd.dataCentre());
    }

    @Override
    public synchronized boolean accepts(BackEnd backEnd) {
        return mIsKnown
                && !isEvacuated(backEnd)
                && returnDelay(backEnd).compareTo(Duration.ZERO) <= 0;
    }

    /** Time until this instance uses the back end again after an evacuation; zero if it may. */
    private Duration returnDelay(BackEnd backEnd) {
        Long returnNanos = mReturnNanos.get(backEnd.dataCentre());
        if (returnNanos == null) {
            return Duration.ZERO;
        }
        Duration elapsed = Duration.ofNanos(mTime.nanoTime() - returnNanos);
        if (elapsed.compareTo(RETURN_TIME) >= 0) {
            mReturnNanos.remove(backEnd.dataCentre());
            return Duration.ZERO;
        }
        if (!hasOtherDataCentre(backEnd)) {
            return Duration.ZERO;
        }
        double share = RendezvousHash.fraction(mInstance, backEnd.id());
        return Duration.ofNanos((long) (share * RETURN_TIME.toNanos())).minus(elapsed);
    }

    /** Whether requests of the service can wait elsewhere for the return. */
    private boolean hasOtherDataCentre(BackEnd backEnd) {
        return mDataCentres.getOrDefault(backEnd.service(), Set.of()).stream()
                .anyMatch(each -> !isEvacuated(each) && !mReturnNanos.containsKey(each));
    }

    /** Nobody knows when an evacuation ends. */
    @Override
    public synchronized Optional<Duration> waitTime(BackEnd backEnd) {
        return mIsKnown && !isEvacuated(backEnd)
                ? Optional.of(returnDelay(backEnd))
                : Optional.empty();
    }

    @Override
    public synchronized void recordRegistered(BackEnd backEnd) {
        mDataCentres
                .computeIfAbsent(backEnd.service(), name -> new HashSet<>())
                .add(backEnd.dataCentre());
    }
}
