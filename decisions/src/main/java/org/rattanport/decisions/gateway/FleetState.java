package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.FleetUpdate.RegistryUpdate;
import org.rattanport.kernel.gateway.SourcedDocument;
import org.rattanport.kernel.time.TimeSource;

/**
 * The routing document and the registry as of known versions of the store, whether this instance
 * read them itself or got them from another one. Keeps recent changes, so that other instances get
 * only what they lack. A version is never replaced by an earlier one.
 */
public final class FleetState {
    /** Recent changes that are kept; an instance that lacks more gets all entries. */
    private static final int MAX_CHANGES = 256;

    /** Time after an outage in which running back ends register again, with a margin. */
    private static final Duration OUTAGE_MEMORY = Duration.ofSeconds(5);

    /** Version before the first read. */
    private static final long UNREAD = -1;

    /** Parts of the state that are read from the store separately. */
    enum Part {
        DOCUMENT,
        REGISTRY
    }

    private record Change(RegistryChange change, boolean followsOutage) {}

    private final ActiveRouting mRouting;
    private final BackEndRegistry mRegistry;
    private final Runnable mOnUpdate;
    private final TimeSource mTime;
    private final Map<String, BackEnd> mEntries = new HashMap<>();
    private final Deque<Change> mChanges = new ArrayDeque<>();
    private final Map<Part, Boolean> mIsAvailable = new HashMap<>();
    private Optional<byte[]> mDocumentSource = Optional.empty();
    private long mRegistryVersion = UNREAD;
    private Optional<Long> mOutageNanos = Optional.empty();

    /** Version after which all changes are kept. */
    private long mFirstKeptVersion = UNREAD;

    public FleetState(
            ActiveRouting routing, BackEndRegistry registry, Runnable onUpdate, TimeSource time) {
        mRouting = routing;
        mRegistry = registry;
        mOnUpdate = onUpdate;
        mTime = time;
    }

    /** Activates the document if it is newer than the active one. */
    public synchronized void recordDocument(SourcedDocument document) {
        if (mRouting.activateIfNewer(document.document())) {
            mDocumentSource = Optional.of(document.source());
            notifyAll();
        }
        mOnUpdate.run();
    }

    /**
     * Applies a full read of the registry.
     *
     * @param followsOutage whether registrations may have lapsed in an outage of the store
     */
    public synchronized void recordFullRead(RegistryChange read, boolean followsOutage) {
        if (read.version() < mRegistryVersion) {
            return;
        }
        if (mRegistryVersion == UNREAD) {
            recordFirstRead(read);
        } else {
            apply(difference(read), followsOutage);
        }
        mOnUpdate.run();
    }

    /** The change that leads from the known entries to those of the full read. */
    private RegistryChange difference(RegistryChange read) {
        Set<String> ids = read.present().stream().map(BackEnd::id).collect(Collectors.toSet());
        return new RegistryChange(
                read.version(),
                read.present().stream()
                        .filter(each -> !each.equals(mEntries.get(each.id())))
                        .toList(),
                mEntries.keySet().stream().filter(id -> !ids.contains(id)).toList());
    }

    private void recordFirstRead(RegistryChange read) {
        mRegistryVersion = read.version();
        mFirstKeptVersion = read.version();
        read.present().forEach(each -> mEntries.put(each.id(), each));
        mRegistry.replace(read.present());
        notifyAll();
    }

    /** Applies changes that follow a version which this instance has had. */
    public synchronized void recordChange(RegistryChange change, boolean followsOutage) {
        if (change.version() > mRegistryVersion) {
            apply(change, followsOutage);
        }
    }

    private void apply(RegistryChange change, boolean followsOutage) {
        mRegistryVersion = change.version();
        if (followsOutage) {
            mRegistry.recordStoreRecovery();
        }
        if (change.present().isEmpty() && change.removed().isEmpty()) {
            return;
        }
        change.present().forEach(each -> mEntries.put(each.id(), each));
        change.removed().forEach(mEntries::remove);
        mRegistry.apply(change.present(), change.removed());
        mChanges.addLast(new Change(change, followsOutage));
        if (mChanges.size() > MAX_CHANGES) {
            mFirstKeptVersion = mChanges.removeFirst().change().version();
        }
        notifyAll();
    }

    /** Applies what another instance has read. */
    public synchronized void recordPeerUpdate(RegistryUpdate update) {
        if (update.isFull()) {
            recordFullRead(update.change(), update.followsOutage());
        } else {
            recordChange(update.change(), update.followsOutage());
        }
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
    synchronized void setAvailable(Part part, boolean isAvailable) {
        mIsAvailable.put(part, isAvailable);
        if (!isAvailable) {
            notifyAll();
        }
    }

    private boolean isAvailable() {
        return Boolean.TRUE.equals(mIsAvailable.get(Part.DOCUMENT))
                && Boolean.TRUE.equals(mIsAvailable.get(Part.REGISTRY));
    }

    /** Version of the store that the registry is as of; negative before the first read. */
    public synchronized long registryVersion() {
        return mRegistryVersion;
    }

    public long documentVersion() {
        return mRouting.version();
    }

    /**
     * Waits until this state is newer than the versions; returns early while the store does not
     * respond to this instance.
     */
    public synchronized FleetUpdate await(
            long documentVersion, long registryVersion, Duration maxWait) {
        long endNanos = mTime.nanoTime() + maxWait.toNanos();
        FleetUpdate update = since(documentVersion, registryVersion);
        while (update.isEmpty() && update.isStoreAvailable()) {
            long remainingNanos = endNanos - mTime.nanoTime();
            if (remainingNanos <= 0) {
                break;
            }
            awaitNotification(remainingNanos);
            update = since(documentVersion, registryVersion);
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

    private FleetUpdate since(long documentVersion, long registryVersion) {
        return new FleetUpdate(
                isAvailable(),
                mDocumentSource.filter(source -> mRouting.version() > documentVersion),
                registrySince(registryVersion));
    }

    private Optional<RegistryUpdate> registrySince(long version) {
        if (mRegistryVersion <= version) {
            return Optional.empty();
        }
        if (version < mFirstKeptVersion) {
            return Optional.of(
                    new RegistryUpdate(
                            new RegistryChange(
                                    mRegistryVersion, List.copyOf(mEntries.values()), List.of()),
                            true,
                            mChanges.stream().anyMatch(Change::followsOutage)));
        }
        List<Change> missing =
                mChanges.stream().filter(each -> each.change().version() > version).toList();
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
            each.change().present().forEach(entry -> last.put(entry.id(), Optional.of(entry)));
            each.change().removed().forEach(id -> last.put(id, Optional.empty()));
        }
        return RegistryChange.of(mRegistryVersion, last);
    }
}
