package org.rattanport.decisions.gateway.discovery;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.FleetSource.OperatorChange;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.FleetUpdate.RegistryUpdate;
import org.rattanport.kernel.gateway.SourcedDocument;
import org.rattanport.kernel.gateway.StoreChange;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePart;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.time.TimeSource;

/**
 * The routing document, the evacuations and the registry as of known versions of the store, whether
 * this instance read them itself or got them from another one. Keeps recent changes, so that other
 * instances get only what they lack. A position is never replaced by an earlier one, nor a document
 * by an older one, also when the store is restored from a copy that has only the older one.
 */
public final class FleetState {
    private static final Logger LOGGER = Logger.getLogger(FleetState.class);

    /** Recent changes that are kept; an instance that lacks more gets all entries. */
    private static final int MAX_CHANGES = 256;

    /** Time after an outage in which running back ends register again, with a margin. */
    private static final Duration OUTAGE_MEMORY = Duration.ofSeconds(5);

    private record Change(RegistryChange change, boolean followsOutage) {}

    private final ActiveRouting mRouting;
    private final BackEndRegistry mRegistry;
    private final EvacuatedDataCentres mEvacuated;
    private final Runnable mOnUpdate;
    private final Consumer<StoreChange> mOnChange;
    private final TimeSource mTime;
    private final Map<String, BackEnd> mEntries = new HashMap<>();

    /** When the entry of each back end arrived, as entries hold times as of their arrival. */
    private final Map<String, Long> mArrivalNanos = new HashMap<>();

    private final Deque<Change> mChanges = new ArrayDeque<>();
    private final Map<StorePart, Boolean> mIsAvailable = new EnumMap<>(StorePart.class);

    /** When the store last responded, to this instance or to one that it follows. */
    private final Map<StorePart, Long> mHeardNanos = new EnumMap<>(StorePart.class);

    /** When the first instance read what this instance has. */
    private final Map<StorePart, Long> mChangedNanos = new EnumMap<>(StorePart.class);

    private Optional<byte[]> mDocumentSource = Optional.empty();
    private StorePosition mPosition = StorePosition.UNREAD;
    private Optional<Long> mOutageNanos = Optional.empty();

    /** Position after which all changes are kept. */
    private StorePosition mFirstKept = StorePosition.UNREAD;

    public FleetState(
            ActiveRouting routing,
            BackEndRegistry registry,
            EvacuatedDataCentres evacuated,
            Runnable onUpdate,
            Consumer<StoreChange> onChange,
            TimeSource time) {
        mRouting = routing;
        mRegistry = registry;
        mEvacuated = evacuated;
        mOnUpdate = onUpdate;
        mOnChange = onChange;
        mTime = time;
    }

    /** Activates a document that this instance has read if it is newer than the active one. */
    public void recordDocument(SourcedDocument document) {
        recordDocument(document, Origin.STORE);
    }

    /** Activates the document if it is newer than the active one. */
    public synchronized void recordDocument(SourcedDocument document, Origin origin) {
        if (mRouting.activateIfNewer(document.document())) {
            mDocumentSource = Optional.of(document.source());
            recordOrigin(StorePart.DOCUMENT, document.document().version(), origin);
            notifyAll();
        }
        mOnUpdate.run();
    }

    /**
     * Applies what this instance has read from the operator's table; the evacuations first, as the
     * document may let this instance serve.
     */
    public synchronized void recordOperatorChange(OperatorChange change) {
        if (mEvacuated.record(change)) {
            notifyAll();
        }
        change.document().ifPresent(this::recordDocument);
        mOnUpdate.run();
    }

    /** Applies the evacuations that another instance has read. */
    synchronized void recordPeerEvacuations(Evacuations evacuations, Origin origin) {
        if (mEvacuated.record(evacuations, origin)) {
            notifyAll();
        }
        mOnUpdate.run();
    }

    /**
     * Applies a full read of the registry.
     *
     * @param followsOutage whether registrations may have lapsed in an outage of the store
     */
    public void recordFullRead(RegistryChange read, boolean followsOutage) {
        recordFullRead(read, followsOutage, Origin.STORE);
    }

    private synchronized void recordFullRead(
            RegistryChange read, boolean followsOutage, Origin origin) {
        if (mPosition.isAfter(read.position())) {
            return;
        }
        if (mPosition.equals(StorePosition.UNREAD)) {
            recordFirstRead(read, origin);
        } else if (read.position().era() > mPosition.era()) {
            recordRestoredRead(read, origin);
        } else {
            apply(difference(read), followsOutage, origin);
        }
        mOnUpdate.run();
    }

    /** The change that leads from the known entries to those of the full read. */
    private RegistryChange difference(RegistryChange read) {
        Set<String> ids = read.present().stream().map(BackEnd::id).collect(Collectors.toSet());
        return new RegistryChange(
                read.position(),
                read.present().stream()
                        .filter(each -> !each.equals(mEntries.get(each.id())))
                        .toList(),
                mEntries.keySet().stream().filter(id -> !ids.contains(id)).toList());
    }

    private void setPosition(StorePosition position) {
        mPosition = position;
        mRegistry.setVersion(position.version());
    }

    /** Entries of the copy may be missing or old until the back ends write them again. */
    private void recordRestoredRead(RegistryChange read, Origin origin) {
        LOGGER.warn(
                LogLine.of("store-restored")
                        .with("era", read.position().era())
                        .with("version", read.position().version())
                        .with("previous_era", mPosition.era())
                        .with("previous_version", mPosition.version())
                        .with("source", origin.source()));
        RegistryChange difference = difference(read);
        setPosition(read.position());
        mRegistry.applyRestored(difference.present(), difference.removed());
        difference.present().forEach(each -> keep(mRegistry.find(each.id()).orElse(each)));
        difference.removed().forEach(this::forget);
        mChanges.clear();
        mFirstKept = read.position();
        recordOrigin(StorePart.REGISTRY, read.position().version(), origin);
        notifyAll();
    }

    private void recordFirstRead(RegistryChange read, Origin origin) {
        setPosition(read.position());
        mFirstKept = read.position();
        read.present().forEach(this::keep);
        mRegistry.replace(read.present());
        recordOrigin(StorePart.REGISTRY, read.position().version(), origin);
        notifyAll();
    }

    /** Applies changes that follow a version which this instance has had. */
    public void recordChange(RegistryChange change, boolean followsOutage) {
        recordChange(change, followsOutage, Origin.STORE);
    }

    private synchronized void recordChange(
            RegistryChange change, boolean followsOutage, Origin origin) {
        boolean isSameEra = change.position().era() == mPosition.era();
        if (isSameEra && change.position().isAfter(mPosition)) {
            apply(change, followsOutage, origin);
        }
    }

    private void apply(RegistryChange change, boolean followsOutage, Origin origin) {
        setPosition(change.position());
        if (followsOutage) {
            mRegistry.recordStoreRecovery();
        }
        if (change.present().isEmpty() && change.removed().isEmpty()) {
            return;
        }
        change.present().forEach(this::keep);
        change.removed().forEach(this::forget);
        mRegistry.apply(change.present(), change.removed());
        recordOrigin(StorePart.REGISTRY, change.position().version(), origin);
        mChanges.addLast(new Change(change, followsOutage));
        if (mChanges.size() > MAX_CHANGES) {
            mFirstKept = mChanges.removeFirst().change().position();
        }
        notifyAll();
    }

    private void keep(BackEnd entry) {
        mEntries.put(entry.id(), entry);
        mArrivalNanos.put(entry.id(), mTime.nanoTime());
    }

    private void forget(String id) {
        mEntries.remove(id);
        mArrivalNanos.remove(id);
    }

    /** Returns the entry with the time for which the back end stays cold from now on. */
    private BackEnd asOfNow(BackEnd entry) {
        long age = mTime.nanoTime() - mArrivalNanos.getOrDefault(entry.id(), mTime.nanoTime());
        Duration left = entry.coldLeft().minusNanos(age);
        return entry.withColdLeft(left.isNegative() ? Duration.ZERO : left);
    }

    /** Applies what another instance has read. */
    public synchronized void recordPeerUpdate(RegistryUpdate update, Origin origin) {
        if (update.isFull()) {
            recordFullRead(update.change(), update.followsOutage(), origin);
        } else {
            recordChange(update.change(), update.followsOutage(), origin);
        }
    }

    private void recordOrigin(StorePart part, long version, Origin origin) {
        mChangedNanos.put(part, mTime.nanoTime() - origin.age().toNanos());
        LOGGER.info(
                LogLine.of("store-change")
                        .with("part", part.wireName())
                        .with("version", version)
                        .with("source", origin.source())
                        .with("age_millis", origin.age().toMillis()));
        mOnChange.accept(new StoreChange(part, version, origin));
    }

    /** Records that the store responded to this instance. */
    synchronized void recordResponse(StorePart part) {
        mHeardNanos.put(part, mTime.nanoTime());
    }

    /** Records how long ago the store responded to an instance that this one follows. */
    synchronized void recordPeerResponse(Duration age) {
        long heardNanos = mTime.nanoTime() - age.toNanos();
        Arrays.stream(StorePart.values())
                .forEach(part -> mHeardNanos.merge(part, heardNanos, FleetState::later));
    }

    private static long later(long oneNanos, long otherNanos) {
        return oneNanos - otherNanos > 0 ? oneNanos : otherNanos;
    }

    /** Time since the store responded to this instance or to one that it follows. */
    public synchronized Optional<Duration> storeAge(StorePart part) {
        return age(mHeardNanos, part);
    }

    private Optional<Duration> age(Map<StorePart, Long> nanos, StorePart part) {
        return Optional.ofNullable(nanos.get(part))
                .map(at -> Duration.ofNanos(mTime.nanoTime() - at));
    }

    private FleetUpdate.Ages ages() {
        return new FleetUpdate.Ages(
                Arrays.stream(StorePart.values())
                        .mapToLong(part -> age(mHeardNanos, part).orElse(Duration.ZERO).toMillis())
                        .max()
                        .orElse(0),
                age(mChangedNanos, StorePart.DOCUMENT).orElse(Duration.ZERO).toMillis(),
                age(mChangedNanos, StorePart.REGISTRY).orElse(Duration.ZERO).toMillis());
    }

    /** Records that the store does not respond to this instance or to a reader. */
    synchronized void recordOutage() {
        mOutageNanos = Optional.of(mTime.nanoTime());
    }

    /** Whether the store was unavailable so recently that lapsed registrations may be missing. */
    synchronized boolean hadOutage() {
        return mOutageNanos
                .filter(at -> mTime.nanoTime() - at < OUTAGE_MEMORY.toNanos())
                .isPresent();
    }

    /** Records whether this instance reads the part from the store. */
    synchronized void setAvailable(StorePart part, boolean isAvailable) {
        mIsAvailable.put(part, isAvailable);
        if (!isAvailable) {
            notifyAll();
        }
    }

    private boolean isAvailable() {
        return Boolean.TRUE.equals(mIsAvailable.get(StorePart.DOCUMENT))
                && Boolean.TRUE.equals(mIsAvailable.get(StorePart.REGISTRY));
    }

    /** Position of the store that the registry is as of. */
    public synchronized StorePosition registryPosition() {
        return mPosition;
    }

    /** Position of the store that the evacuations are as of. */
    public StorePosition evacuationPosition() {
        return mEvacuated.position();
    }

    /** Whether the evacuations were read, by this instance or by one that it follows. */
    boolean hasEvacuations() {
        return mEvacuated.isKnown();
    }

    public long documentVersion() {
        return mRouting.version();
    }

    /**
     * Waits until this state is newer than what the sender of the request has; returns early while
     * the store does not respond to this instance.
     */
    public synchronized FleetUpdate await(PeerMessage.FleetRequest request, Duration maxWait) {
        long endNanos = mTime.nanoTime() + maxWait.toNanos();
        FleetUpdate update = since(request);
        while (update.isEmpty() && update.isStoreAvailable()) {
            long remainingNanos = endNanos - mTime.nanoTime();
            if (remainingNanos <= 0) {
                break;
            }
            awaitNotification(remainingNanos);
            update = since(request);
        }
        return update;
    }

    private void awaitNotification(long nanos) {
        try {
            TimeUnit.NANOSECONDS.timedWait(this, nanos);
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    private FleetUpdate since(PeerMessage.FleetRequest request) {
        return new FleetUpdate(
                isAvailable(),
                ages(),
                mDocumentSource.filter(source -> mRouting.version() > request.documentVersion()),
                registrySince(request.registryPosition()),
                mEvacuated.since(request.evacuationPosition()));
    }

    private Optional<RegistryUpdate> registrySince(StorePosition position) {
        if (!mPosition.isAfter(position)) {
            return Optional.empty();
        }
        if (mFirstKept.isAfter(position)) {
            return Optional.of(
                    new RegistryUpdate(
                            new RegistryChange(
                                    mPosition,
                                    mEntries.values().stream().map(this::asOfNow).toList(),
                                    List.of()),
                            true,
                            mChanges.stream().anyMatch(Change::followsOutage)));
        }
        List<Change> missing =
                mChanges.stream()
                        .filter(each -> each.change().position().isAfter(position))
                        .toList();
        if (missing.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new RegistryUpdate(
                        merge(missing), false, missing.stream().anyMatch(Change::followsOutage)));
    }

    /** Merges changes; the last change of a back end counts. */
    private RegistryChange merge(List<Change> changes) {
        Map<String, Optional<BackEnd>> last = new LinkedHashMap<>();
        for (Change each : changes) {
            each.change()
                    .present()
                    .forEach(entry -> last.put(entry.id(), Optional.of(asOfNow(entry))));
            each.change().removed().forEach(id -> last.put(id, Optional.empty()));
        }
        return RegistryChange.of(mPosition, last);
    }
}
