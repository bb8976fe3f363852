package org.rattanport.decisions.gateway.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.time.TimeSource;

/**
 * This instance's view of the registered back ends. During a store outage the registration of a
 * healthy back end can lapse, so a back end that is missing after the outage is removed only once
 * the grace period ends without a new registration.
 */
public final class BackEndRegistry {
    private static final Logger LOGGER = Logger.getLogger(BackEndRegistry.class);

    /** Time that running back ends need to register again after a store outage. */
    private static final Duration REREGISTRATION_GRACE = Duration.ofSeconds(2);

    /** Age up to which a copy of the store may still have the entry of a back end that has left. */
    private static final Duration DEPARTURE_MEMORY = Duration.ofMinutes(1);

    /** Time after which the entry of a back end that is gone has lapsed in a restored store. */
    private static final Duration RESTORED_ENTRY_LIFETIME = Duration.ofSeconds(6);

    /** An entry of a back end, and a time at which something happens or has happened to it. */
    private record Departure(BackEnd backEnd, long nanos) {}

    private final TimeSource mTime;
    private final List<RequestGate> mGates;
    private final Map<String, BackEnd> mBackEnds = new HashMap<>();
    private final Map<String, Long> mRemovalNanos = new HashMap<>();

    /** Back ends that were removed lately, by id. */
    private final Map<String, Departure> mDepartures = new HashMap<>();

    /** When to believe entries of a restored store that name back ends which had left. */
    private final Map<String, Departure> mDoubtful = new HashMap<>();

    private Optional<Long> mStoreRecoveredNanos = Optional.empty();
    private boolean mIsInitialized;
    private long mVersion = StorePosition.UNREAD.version();

    /**
     * Creates an empty registry.
     *
     * @param gates what keeps requests away from registered back ends
     */
    public BackEndRegistry(TimeSource time, RequestGate... gates) {
        mTime = time;
        mGates = List.of(gates);
    }

    /** Records the version of the store that the entries are as of. */
    public synchronized void setVersion(long version) {
        mVersion = version;
    }

    /** Version of the store that the entries are as of; negative before the first read. */
    public synchronized long version() {
        return mVersion;
    }

    /** Records that the store responds again after an outage. */
    public synchronized void recordStoreRecovery() {
        mStoreRecoveredNanos = Optional.of(mTime.nanoTime());
    }

    /**
     * Applies a full read of the store. A missing back end is removed, after an outage once the
     * grace period has ended.
     */
    public synchronized void replace(List<BackEnd> entries) {
        if (!mIsInitialized) {
            entries.forEach(each -> mBackEnds.put(each.id(), each));
            entries.forEach(this::recordRegistered);
            mIsInitialized = true;
            LOGGER.info(LogLine.of("registry-known").with("back_ends", mBackEnds.size()));
            return;
        }
        Set<String> ids = entries.stream().map(BackEnd::id).collect(Collectors.toSet());
        List<String> missing = mBackEnds.keySet().stream().filter(id -> !ids.contains(id)).toList();
        apply(entries, missing);
    }

    /** Applies changes of the registry. */
    public synchronized void apply(List<BackEnd> present, List<String> removed) {
        present.forEach(this::put);
        removed.forEach(this::remove);
    }

    /**
     * Applies a full read of a store that was restored from a copy. Missing back ends have time to
     * register again. One that has left is believed to be back only when it registers again, or its
     * entry does not lapse.
     */
    public synchronized void applyRestored(List<BackEnd> present, List<String> removed) {
        recordStoreRecovery();
        for (BackEnd each : present) {
            Departure departure = mDepartures.get(each.id());
            if (departure != null && departure.backEnd().isSameRun(each)) {
                mDoubtful.put(
                        each.id(),
                        new Departure(each, mTime.nanoTime() + RESTORED_ENTRY_LIFETIME.toNanos()));
            } else {
                put(each);
            }
        }
        removed.forEach(this::remove);
    }

    private void put(BackEnd entry) {
        BackEnd backEnd = isKnownToLeave(entry) ? entry.draining() : entry;
        mDepartures.remove(backEnd.id());
        mDoubtful.remove(backEnd.id());
        recordRegistered(backEnd);
        mRemovalNanos.remove(backEnd.id());
        BackEnd previous = mBackEnds.put(backEnd.id(), backEnd);
        if (previous == null || !isAlike(previous, backEnd)) {
            LOGGER.info(
                    LogLine.of("back-end-known")
                            .with("back_end", backEnd.id())
                            .with("service", backEnd.service())
                            .with("address", backEnd.address())
                            .with("is_leaving", backEnd.isDraining()));
        }
    }

    /** Whether the entries differ at most in the time that changes with each entry. */
    private static boolean isAlike(BackEnd one, BackEnd other) {
        return one.equals(other.withColdLeft(one.coldLeft()));
    }

    /** A run that has begun to leave does not come back, whatever an old entry says. */
    private boolean isKnownToLeave(BackEnd entry) {
        BackEnd known = mBackEnds.get(entry.id());
        return known != null
                && known.isDraining()
                && known.isSameRun(entry)
                && known.hasKnownStart();
    }

    private void recordRegistered(BackEnd backEnd) {
        mGates.forEach(gate -> gate.recordRegistered(backEnd));
    }

    private void remove(String id) {
        mDoubtful.remove(id);
        BackEnd current = mBackEnds.get(id);
        if (current == null) {
            return;
        }
        long now = mTime.nanoTime();
        boolean mayHaveLapsed =
                !current.isDraining()
                        && mStoreRecoveredNanos
                                .filter(at -> now - at < REREGISTRATION_GRACE.toNanos())
                                .isPresent();
        if (mayHaveLapsed) {
            mRemovalNanos.putIfAbsent(
                    id, mStoreRecoveredNanos.get() + REREGISTRATION_GRACE.toNanos());
            return;
        }
        forget(id);
        logRemoval(id, "its registry entry was removed");
    }

    private void forget(String id) {
        long now = mTime.nanoTime();
        mDepartures.values().removeIf(each -> now - each.nanos() > DEPARTURE_MEMORY.toNanos());
        mDepartures.put(id, new Departure(mBackEnds.remove(id), now));
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
            forget(id);
            logRemoval(id, "it did not register again after a store outage");
        }
    }

    private void putDoubtful() {
        long now = mTime.nanoTime();
        List<Departure> believed =
                mDoubtful.values().stream().filter(each -> now - each.nanos() >= 0).toList();
        believed.forEach(each -> put(each.backEnd()));
    }

    /**
     * Removes a back end when another one responds at its address, before its entry in the store
     * changes. An entry of a later start under the same id stays.
     */
    public synchronized void removeReplaced(BackEnd backEnd) {
        BackEnd current = mBackEnds.get(backEnd.id());
        if (current != null && current.isSameRun(backEnd)) {
            forget(backEnd.id());
            logRemoval(backEnd.id(), "another back end responds at its address");
        }
    }

    /** Returns the back ends of the service that accept requests now. */
    public List<BackEnd> available(String service) {
        return registered(service).stream().filter(this::isAccepting).toList();
    }

    /** Returns the ids of registered back ends of the service that want no requests now. */
    public Set<String> refusing(String service) {
        return registered(service).stream()
                .filter(each -> !isAccepting(each))
                .map(BackEnd::id)
                .collect(Collectors.toSet());
    }

    /** Returns the reasons of the gates that keep requests away from the back end now. */
    public List<String> refusalReasons(BackEnd backEnd) {
        return mGates.stream()
                .filter(gate -> !gate.accepts(backEnd))
                .map(RequestGate::reason)
                .toList();
    }

    /** Returns all registered back ends of the service, draining ones included, by id. */
    public synchronized List<BackEnd> all(String service) {
        return mBackEnds.values().stream()
                .filter(each -> each.service().equals(service))
                .sorted(Comparator.comparing(BackEnd::id))
                .toList();
    }

    private boolean isAccepting(BackEnd backEnd) {
        return mGates.stream().allMatch(gate -> gate.accepts(backEnd));
    }

    /**
     * Returns the time until a back end of the service may accept requests again, if none does now
     * and the time is known for each of them.
     */
    public Optional<Duration> shortestWait(String service) {
        return shortestWait(service, backEnd -> true);
    }

    /** Returns the shortest wait for those back ends of the service that may be used. */
    public Optional<Duration> shortestWait(String service, Predicate<BackEnd> isAllowed) {
        List<Optional<Duration>> waits =
                registered(service).stream().filter(isAllowed).map(this::waitTime).toList();
        return waits.stream().allMatch(Optional::isPresent)
                ? waits.stream().flatMap(Optional::stream).min(Duration::compareTo)
                : Optional.empty();
    }

    /** Returns the time until no gate keeps requests away; empty if one does not know it. */
    private Optional<Duration> waitTime(BackEnd backEnd) {
        List<RequestGate> closed = mGates.stream().filter(gate -> !gate.accepts(backEnd)).toList();
        List<Duration> waits =
                closed.stream()
                        .map(gate -> gate.waitTime(backEnd))
                        .flatMap(Optional::stream)
                        .toList();
        return waits.size() == closed.size()
                ? waits.stream().max(Duration::compareTo)
                : Optional.empty();
    }

    /** Returns the back ends of the service that are not draining by their entries. */
    public synchronized List<BackEnd> registered(String service) {
        removeLapsed();
        putDoubtful();
        List<BackEnd> found = new ArrayList<>();
        for (BackEnd each : mBackEnds.values()) {
            if (each.service().equals(service) && !each.isDraining()) {
                found.add(each);
            }
        }
        return found;
    }

    public synchronized Optional<BackEnd> find(String id) {
        return Optional.ofNullable(mBackEnds.get(id));
    }

    /** Whether this run of the back end is registered and not draining by its entry. */
    public synchronized boolean isInUse(BackEnd backEnd) {
        return find(backEnd.id())
                .filter(each -> each.isSameRun(backEnd) && !each.isDraining())
                .isPresent();
    }

    /** Returns the back end if it accepts requests now. */
    public Optional<BackEnd> findAvailable(String id) {
        return find(id).filter(each -> !each.isDraining() && isAccepting(each));
    }

    /** Whether the registry was read in full at least once. */
    public synchronized boolean isInitialized() {
        return mIsInitialized;
    }
}
