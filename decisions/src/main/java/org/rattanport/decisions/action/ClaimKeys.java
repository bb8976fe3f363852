package org.rattanport.decisions.action;

import org.rattanport.kernel.model.AccountId;

/** Builds the keys of claim rows. */
final class ClaimKeys {
    static final String PREFIX = "claim/";

    private ClaimKeys() {}

    /** Returns the row key; the length prefix prevents collisions between accounts. */
    static String of(AccountId account, String idempotencyKey) {
        return PREFIX + account.value().length() + ":" + account.value() + "/" + idempotencyKey;
    }
}
