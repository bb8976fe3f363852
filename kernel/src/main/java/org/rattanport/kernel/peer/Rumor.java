package org.rattanport.kernel.peer;

import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;

/** A fact that gossip spreads to all instances. */
public sealed interface Rumor {
    /** Identifies the subject; of two rumors with the same key the newer replaces the older. */
    String key();

    /** The state of a member. */
    record MemberRumor(Member member) implements Rumor {
        @Override
        public String key() {
            return "member/" + member.id().name();
        }
    }

    /** A target drains: it refuses new work. */
    record TargetDraining(TargetId target) implements Rumor {
        @Override
        public String key() {
            return "leaving/" + target;
        }
    }

    /** A target failed while it ran a request, or a part of one, with the fingerprint. */
    record RequestSuspected(Fingerprint fingerprint, TargetId target) implements Rumor {
        @Override
        public String key() {
            return "suspected/" + fingerprint + "/" + target;
        }
    }

    /**
     * A target ran a content with the fingerprint without failing.
     *
     * @param observation number that tells this observation from others of the same content
     */
    record SuspicionWithdrawn(Fingerprint fingerprint, long observation) implements Rumor {
        @Override
        public String key() {
            return "withdrawn/" + fingerprint;
        }
    }
}
