package org.rattanport.decisions.memory;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.EngineHolding;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Frees engine memory that nobody needs any more. Each engine is looked after by one live instance,
 * chosen by rendezvous, which asks what the engine holds and for whom.
 *
 * <ul>
 *   <li>What belongs to an ended instance is released after a grace, in which its caller may resume
 *       the answer at another instance.
 *   <li>What belongs to this instance and is not in use was left by a lost cancel.
 *   <li>What belongs to a name that no one knows is released after a longer grace.
 * </ul>
 */
public final class MemoryReclaimer {
    private static final Logger LOGGER = Logger.getLogger(MemoryReclaimer.class);
    private static final Duration ENGINE_TIMEOUT = Duration.ofSeconds(2);
    private static final double OWN_GRACE_SECONDS = 3;
    private static final double ENDED_GRACE_SECONDS = 10;
    private static final double UNKNOWN_GRACE_SECONDS = 20;

    private final TargetDirectory mDirectory;
    private final EngineClient mEngines;
    private final Membership mMembership;
    private final Supplier<Set<String>> mLiveKeys;
    private final TimeSource mTime;
    private final java.util.concurrent.atomic.AtomicLong mReleased =
            new java.util.concurrent.atomic.AtomicLong();

    public MemoryReclaimer(
            TargetDirectory directory,
            EngineClient engines,
            Membership membership,
            Supplier<Set<String>> liveKeys,
            TimeSource time) {
        mDirectory = directory;
        mEngines = engines;
        mMembership = membership;
        mLiveKeys = liveKeys;
        mTime = time;
    }

    /** Looks at every engine that this instance is responsible for. */
    public void sweep() {
        List<Member> alive = mMembership.aliveMembers();
        mDirectory.all(TargetKind.ENGINE).stream()
                .filter(each -> isResponsible(each, alive))
                .forEach(this::sweep);
    }

    /** Pieces of memory released so far. */
    public long released() {
        return mReleased.get();
    }

    private boolean isResponsible(Target engine, List<Member> alive) {
        return !alive.isEmpty()
                && RendezvousHash.order(
                                "memory/" + engine.id().name(), alive, each -> each.id().name())
                        .getFirst()
                        .id()
                        .equals(mMembership.self().id());
    }

    private void sweep(Target engine) {
        try {
            mEngines.holdings(engine, Deadline.after(mTime, ENGINE_TIMEOUT)).stream()
                    .filter(this::isLost)
                    .forEach(holding -> release(engine, holding));
        } catch (RattanportException e) {
            LOGGER.debugf("cannot read what %s holds: %s", engine.id(), e.getMessage());
        }
    }

    private boolean isLost(EngineHolding holding) {
        InstanceId owner = holding.owner();
        if (owner.equals(mMembership.self().id())) {
            return holding.ageSeconds() > OWN_GRACE_SECONDS
                    && !mLiveKeys.get().contains(holding.key());
        }
        if (mMembership.hasEnded(owner)) {
            return holding.ageSeconds() > ENDED_GRACE_SECONDS;
        }
        boolean isKnown =
                mMembership
                        .find(owner.name())
                        .filter(each -> each.id().equals(owner))
                        .filter(each -> each.state() != MemberState.DEAD)
                        .isPresent();
        return !isKnown && holding.ageSeconds() > UNKNOWN_GRACE_SECONDS;
    }

    private void release(Target engine, EngineHolding holding) {
        LOGGER.infof(
                "releasing %s (%d tokens) of %s at %s",
                holding.key(), holding.tokens(), holding.owner(), engine.id());
        mEngines.release(engine, holding.key(), Deadline.after(mTime, ENGINE_TIMEOUT));
        mReleased.incrementAndGet();
    }
}
