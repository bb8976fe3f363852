package org.rattanport.decisions.gateway.discovery;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.discovery.ReaderRole.Role;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.SourcedDocument;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Follows the store through the instances that read it, and decides whether this instance must read
 * it too. Asks the readers of this data centre and of the others in turn, and for a while not again
 * those that were of no use, so that any two readers which have fallen silent or behind delay a
 * change by two waits at most.
 */
public final class ReaderFollower {
    private static final Logger LOGGER = Logger.getLogger(ReaderFollower.class);

    /** Longest wait of one request for changes. */
    private static final Duration MAX_WAIT = Duration.ofMillis(600);

    /** Time beyond the wait after which a reader is silent. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(200);

    /** Time for which a reader that was silent or had no store is not asked, if another may be. */
    private static final Duration AVOIDANCE_TIME = Duration.ofSeconds(3);

    /** Delay after a request while all readers are silent or have no store. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    /** Time without a reader that has a store after which this instance reads the store. */
    private static final Duration STAND_IN_DELAY = Duration.ofMillis(1_500);

    /**
     * Time after which a starting instance that no reader has served reads the store. Callers wait
     * for an instance that restarts, but not when all start for the first time.
     */
    private static final Duration RESTART_DELAY = Duration.ofMillis(150);

    private static final Duration FIRST_START_DELAY = Duration.ofMillis(2_500);

    /** Time that a starting instance has to find other members. */
    private static final Duration JOIN_DELAY = Duration.ofMillis(600);

    private final StoreReaders mReaders;
    private final ReaderRole mRole;
    private final FleetState mState;
    private final FleetSource mSource;
    private final PeerNetwork mPeers;
    private final boolean mIsFirstStart;
    private final TimeSource mTime;
    private final Map<InstanceId, Long> mUselessNanos = new HashMap<>();
    private long mLastServedNanos;
    private boolean mHasFoundMembers;
    private boolean mWasServed;
    private int mRounds;

    public ReaderFollower(
            StoreReaders readers,
            ReaderRole role,
            FleetState state,
            FleetSource source,
            PeerNetwork peers,
            boolean isFirstStart,
            TimeSource time) {
        mReaders = readers;
        mRole = role;
        mState = state;
        mSource = source;
        mPeers = peers;
        mIsFirstStart = isFirstStart;
        mTime = time;
        mLastServedNanos = time.nanoTime();
    }

    /** Registers the handler of requests from other instances. */
    public void registerHandler() {
        mPeers.registerHandler(
                PeerMessage.FleetRequest.class,
                request -> new PeerMessage.FleetReply(mState.await(request, waitLimit(request))));
    }

    private static Duration waitLimit(PeerMessage.FleetRequest request) {
        Duration requested = Duration.ofMillis(request.maxWaitMillis());
        return requested.compareTo(MAX_WAIT) < 0 ? requested : MAX_WAIT;
    }

    /** Body of the task that follows the readers. */
    public void followUntilClosed() {
        while (!mRole.isClosed()) {
            try {
                followOnce();
            } catch (RattanportException e) {
                if (mRole.isClosed()) {
                    return;
                }
                LOGGER.debugf("cannot follow a reader of the store: %s", e.getMessage());
                mTime.sleep(RETRY_DELAY);
            } catch (RuntimeException e) {
                LOGGER.error("unexpected error while following a reader; retrying", e);
                mTime.sleep(RETRY_DELAY);
            } finally {
                mRole.set(role());
            }
        }
    }

    private void followOnce() {
        List<Member> others = mReaders.others();
        mHasFoundMembers |= !others.isEmpty();
        if (others.isEmpty()) {
            mTime.sleep(RETRY_DELAY);
            return;
        }
        Member reader = next(others);
        if (follow(reader)) {
            mUselessNanos.remove(reader.id());
            return;
        }
        mUselessNanos.put(reader.id(), mTime.nanoTime());
        if (useful(others).isEmpty()) {
            mTime.sleep(RETRY_DELAY);
        }
    }

    /** Takes what the reader has; returns whether it responds and has the store. */
    private boolean follow(Member reader) {
        Optional<FleetUpdate> response = request(reader);
        if (response.isEmpty()) {
            return false;
        }
        FleetUpdate update = response.get();
        apply(update, reader);
        if (!update.isStoreAvailable()) {
            if (mWasServed) {
                mState.recordOutage();
            }
            return false;
        }
        if (!mState.hasEvacuations()) {
            // The reader has not read them yet, and this instance is not ready without them.
            return false;
        }
        mState.recordPeerResponse(Duration.ofMillis(update.ages().storeMillis()));
        mLastServedNanos = mTime.nanoTime();
        mWasServed = true;
        return true;
    }

    /** Requests what this instance lacks; empty if the reader is silent or does not know. */
    private Optional<FleetUpdate> request(Member reader) {
        PeerMessage.FleetRequest request =
                new PeerMessage.FleetRequest(
                        mState.documentVersion(),
                        mState.registryPosition(),
                        mState.evacuationPosition(),
                        maxWait().toMillis());
        Deadline deadline = Deadline.after(mTime, maxWait().plus(RESPONSE_MARGIN));
        try {
            return mPeers.call(reader.peerAddress(), request, deadline)
                            instanceof PeerMessage.FleetReply reply
                    ? Optional.of(reply.update())
                    : Optional.empty();
        } catch (RattanportException e) {
            if (e.code() != ErrorCode.PEER_UNREACHABLE) {
                throw e;
            }
            LOGGER.debugf("reader %s does not respond: %s", reader.id(), e.getMessage());
            return Optional.empty();
        }
    }

    /** A starting instance takes what the reader has, and does not wait for a change. */
    private Duration maxWait() {
        return mWasServed ? MAX_WAIT : Duration.ZERO;
    }

    /** Readers of this data centre and of the others in turn. */
    private Member next(List<Member> others) {
        List<Member> useful = useful(others);
        Map<Boolean, List<Member>> byPlace =
                (useful.isEmpty() ? others : useful)
                        .stream().collect(Collectors.groupingBy(mReaders::isLocal));
        int round = mRounds++;
        List<Member> turn = byPlace.get(round % 2 == 0);
        List<Member> candidates = turn == null ? byPlace.get(round % 2 != 0) : turn;
        return candidates.get(round / 2 % candidates.size());
    }

    private List<Member> useful(List<Member> others) {
        long now = mTime.nanoTime();
        mUselessNanos.values().removeIf(since -> now - since > AVOIDANCE_TIME.toNanos());
        return others.stream().filter(each -> !mUselessNanos.containsKey(each.id())).toList();
    }

    private void apply(FleetUpdate update, Member reader) {
        FleetUpdate.Ages ages = update.ages();
        update.evacuations()
                .ifPresent(
                        each ->
                                mState.recordPeerEvacuations(
                                        each.evacuations(), origin(reader, each.ageMillis())));
        update.documentSource()
                .map(source -> new SourcedDocument(mSource.parseDocument(source), source))
                .ifPresent(
                        document ->
                                mState.recordDocument(
                                        document, origin(reader, ages.documentMillis())));
        update.registry()
                .ifPresent(
                        registry ->
                                mState.recordPeerUpdate(
                                        registry, origin(reader, ages.registryMillis())));
    }

    private static Origin origin(Member reader, long ageMillis) {
        return new Origin(reader.id().name(), Duration.ofMillis(ageMillis));
    }

    private Role role() {
        Duration unserved = Duration.ofNanos(mTime.nanoTime() - mLastServedNanos);
        if (mReaders.isReader() && (mHasFoundMembers || unserved.compareTo(joinDelay()) > 0)) {
            return Role.READER;
        }
        return unserved.compareTo(standInDelay()) > 0 ? Role.STAND_IN : Role.FOLLOWER;
    }

    private Duration joinDelay() {
        return mIsFirstStart ? JOIN_DELAY : RESTART_DELAY;
    }

    private Duration standInDelay() {
        if (mWasServed) {
            return STAND_IN_DELAY;
        }
        return mIsFirstStart ? FIRST_START_DELAY : RESTART_DELAY;
    }
}
