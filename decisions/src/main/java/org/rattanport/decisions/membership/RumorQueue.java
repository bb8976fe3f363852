package org.rattanport.decisions.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rattanport.kernel.peer.Rumor;

/**
 * Queue of rumors to disseminate. Each rumor is transmitted a number of times that grows with the
 * logarithm of the cluster size; the least transmitted rumors go first.
 */
public final class RumorQueue {
    private static final int RETRANSMIT_MULTIPLIER = 3;
    private static final int MAX_RUMORS_PER_MESSAGE = 12;

    private final Map<String, Pending> mPending = new LinkedHashMap<>();

    /** Adds a rumor; it replaces an older rumor with the same key. */
    public synchronized void add(Rumor rumor) {
        mPending.put(rumor.key(), new Pending(rumor));
    }

    /** Takes the rumors for the next message in a cluster of the given size. */
    public synchronized List<Rumor> take(int clusterSize) {
        int bitLength = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, clusterSize));
        int maxTransmissions = RETRANSMIT_MULTIPLIER * bitLength;
        List<Pending> chosen =
                mPending.values().stream()
                        .sorted(Comparator.comparingInt(each -> each.mTransmissions))
                        .limit(MAX_RUMORS_PER_MESSAGE)
                        .toList();
        List<Rumor> rumors = new ArrayList<>();
        for (Pending pending : chosen) {
            rumors.add(pending.mRumor);
            pending.mTransmissions++;
            if (pending.mTransmissions >= maxTransmissions) {
                mPending.remove(pending.mRumor.key(), pending);
            }
        }
        return rumors;
    }

    private static final class Pending {
        private final Rumor mRumor;
        private int mTransmissions;

        private Pending(Rumor rumor) {
            mRumor = rumor;
        }
    }
}
