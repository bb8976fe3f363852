package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.time.TimeSource;

/**
 * Counts the members that fell silent without leaving. They may have ended, or may go on in another
 * part of a parted fleet.
 */
public final class MissingMembers {
    private static final Duration LIFETIME = Duration.ofMinutes(10);

    private final TimeSource mTime;
    private final Set<String> mAlive = new HashSet<>();
    private final Map<String, Long> mSilentSinceNanos = new HashMap<>();
    private long mChangedNanos;

    public MissingMembers(TimeSource time) {
        mTime = time;
        mChangedNanos = time.nanoTime();
    }

    /** Records the new state of a member. */
    public synchronized void recordChange(Member member) {
        String name = member.id().name();
        mChangedNanos = mTime.nanoTime();
        boolean wasAlive = mAlive.remove(name);
        switch (member.state()) {
            case ALIVE -> {
                mAlive.add(name);
                mSilentSinceNanos.remove(name);
            }
            case LEAVING -> mSilentSinceNanos.remove(name);
            case SUSPECT, DEAD -> {
                if (wasAlive) {
                    mSilentSinceNanos.put(name, mTime.nanoTime());
                }
            }
        }
    }

    /** Time since a member last changed. */
    synchronized Duration unchangedFor() {
        return Duration.ofNanos(mTime.nanoTime() - mChangedNanos);
    }

    synchronized int count() {
        long now = mTime.nanoTime();
        mSilentSinceNanos.values().removeIf(since -> now - since > LIFETIME.toNanos());
        return mSilentSinceNanos.size();
    }
}
