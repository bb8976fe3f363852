package org.rattanport.kernel.peer;

import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;

/** A piece of knowledge that instances pass on to each other until all have it. */
public sealed interface Rumor {
    /** Two rumors with one key are about the same matter; the newer replaces the older. */
    String key();

    /** State of a member. */
    record MemberRumor(Member member) implements Rumor {
        @Override
        public String key() {
            return "member/" + member.id().name();
        }
    }

    /** A target refuses new work. */
    record TargetLeaving(TargetId target) implements Rumor {
        @Override
        public String key() {
            return "leaving/" + target;
        }
    }

    /** A target died while a request with the fingerprint ran on it. */
    record RequestSuspected(Fingerprint fingerprint, TargetId target) implements Rumor {
        @Override
        public String key() {
            return "suspected/" + fingerprint + "/" + target;
        }
    }
}
