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
import org.rattanport.kernel.target.MemoryAllocation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Releases orphaned memory of engines. Rendezvous hashing assigns each engine to one alive
 * instance, which reads the memory allocations of the engine and releases these:
 *
 * <ul>
 *   <li>An allocation of an ended instance, after a grace period in which its caller may resume the
 *       answer at another instance.
 *   <li>An allocation of this instance that is not in use: the request to cancel it was lost.
 *   <li>An allocation of an instance unknown to the membership, after a longer grace period.
 * </ul>
 */
public final class MemoryReclaimer {
    private static final Logger LOGGER = Logger.getLogger(MemoryReclaimer.class);
    private static final Duration ENGINE_TIMEOUT = Duration.ofSeconds(2);
    private static final double UNUSED_GRACE_SECONDS = 3;
    private static final double ENDED_OWNER_GRACE_SECONDS = 10;
    private static final double UNKNOWN_OWNER_GRACE_SECONDS = 20;

    private final TargetDirectory mDirectory;
    private final EngineClient mEngines;
    private final Membership mMembership;
    private final Supplier<Set<String>> mKeysInUse;
    private final TimeSource mTime;
    private final java.util.concurrent.atomic.AtomicLong mReleased =
            new java.util.concurrent.atomic.AtomicLong();

    public MemoryReclaimer(
            TargetDirectory directory,
            EngineClient engines,
            Membership membership,
            Supplier<Set<String>> keysInUse,
            TimeSource time) {
        mDirectory = directory;
        mEngines = engines;
        mMembership = membership;
        mKeysInUse = keysInUse;
        mTime = time;
    }

    /** Releases the orphaned allocations of every engine that this instance is responsible for. */
    public void sweep() {
        List<Member> alive = mMembership.aliveMembers();
        mDirectory.all(TargetKind.ENGINE).stream()
                .filter(each -> isResponsible(each, alive))
                .forEach(this::sweep);
    }

    /** Returns the number of allocations released so far. */
    public long releasedCount() {
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
            mEngines.memoryAllocations(engine, Deadline.after(mTime, ENGINE_TIMEOUT)).stream()
                    .filter(this::isOrphaned)
                    .forEach(allocation -> release(engine, allocation));
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "cannot read the memory allocations of engine %s: %s",
                    engine.id(), e.getMessage());
        }
    }

    private boolean isOrphaned(MemoryAllocation allocation) {
        InstanceId owner = allocation.owner();
        if (owner.equals(mMembership.self().id())) {
            return allocation.ageSeconds() > UNUSED_GRACE_SECONDS
                    && !mKeysInUse.get().contains(allocation.key());
        }
        if (mMembership.hasEnded(owner)) {
            return allocation.ageSeconds() > ENDED_OWNER_GRACE_SECONDS;
        }
        boolean isOwnerKnown =
                mMembership
                        .find(owner.name())
                        .filter(each -> each.id().equals(owner))
                        .filter(each -> each.state() != MemberState.DEAD)
                        .isPresent();
        return !isOwnerKnown && allocation.ageSeconds() > UNKNOWN_OWNER_GRACE_SECONDS;
    }

    private void release(Target engine, MemoryAllocation allocation) {
        LOGGER.infof(
                "releasing memory allocation %s (%d tokens) of instance %s at engine %s",
                allocation.key(), allocation.tokens(), allocation.owner(), engine.id());
        mEngines.release(engine, allocation.key(), Deadline.after(mTime, ENGINE_TIMEOUT));
        mReleased.incrementAndGet();
    }
}
