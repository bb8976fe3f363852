package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.List;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.ReaderRole.Role;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.SourcedDocument;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Follows the store through the instances that read it, and decides whether this instance must read
 * it too. Asks the reader of this data centre and one of another in turn, so that a reader which
 * has fallen silent or behind delays a change by one wait at most.
 */
final class ReaderFollower {
    private static final Logger LOGGER = Logger.getLogger(ReaderFollower.class);

    /** Longest wait of one request for changes. */
    private static final Duration MAX_WAIT = Duration.ofMillis(750);

    /** Time beyond the wait after which a reader is silent. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(200);

    /** Delay after a request to a reader that is silent or has no store. */
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
    private long mLastServedNanos;
    private boolean mHasFoundMembers;
    private boolean mWasServed;
    private int mRounds;

    ReaderFollower(
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
    void registerHandler() {
        mPeers.registerHandler(
                PeerMessage.FleetRequest.class,
                request ->
                        new PeerMessage.FleetReply(
                                mState.await(
                                        request.documentVersion(),
                                        request.registryVersion(),
                                        waitLimit(request))));
    }

    private static Duration waitLimit(PeerMessage.FleetRequest request) {
        Duration requested = Duration.ofMillis(request.maxWaitMillis());
        return requested.compareTo(MAX_WAIT) < 0 ? requested : MAX_WAIT;
    }

    /** Body of the task that follows the readers. */
    void followUntilClosed() {
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
        PeerMessage reply =
                mPeers.call(
                        reader.peerAddress(),
                        new PeerMessage.FleetRequest(
                                mState.documentVersion(),
                                mState.registryVersion(),
                                maxWait().toMillis()),
                        Deadline.after(mTime, maxWait().plus(RESPONSE_MARGIN)));
        if (!(reply instanceof PeerMessage.FleetReply fleet)) {
            mTime.sleep(RETRY_DELAY);
            return;
        }
        apply(fleet.update(), reader);
        if (fleet.update().isStoreAvailable()) {
            mState.recordPeerResponse(Duration.ofMillis(fleet.update().ages().storeMillis()));
            mLastServedNanos = mTime.nanoTime();
            mWasServed = true;
        } else {
            if (mWasServed) {
                mState.recordOutage();
            }
            mTime.sleep(RETRY_DELAY);
        }
    }

    /** A starting instance takes what the reader has, and does not wait for a change. */
    private Duration maxWait() {
        return mWasServed ? MAX_WAIT : Duration.ZERO;
    }

    /** The first reader and the remaining ones in turn. */
    private Member next(List<Member> others) {
        int round = mRounds++;
        if (others.size() == 1 || round % 2 == 0) {
            return others.getFirst();
        }
        return others.get(1 + round / 2 % (others.size() - 1));
    }

    private void apply(FleetUpdate update, Member reader) {
        FleetUpdate.Ages ages = update.ages();
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
