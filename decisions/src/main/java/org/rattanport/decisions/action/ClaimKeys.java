package org.rattanport.decisions.action;

import org.rattanport.kernel.model.AccountId;

/** Keys of claim rows. */
final class ClaimKeys {
    static final String PREFIX = "claim/";

    private ClaimKeys() {}

    /** The length of the account's name keeps keys of different accounts apart. */
    static String of(AccountId account, String idempotencyKey) {
        return PREFIX + account.value().length() + ":" + account.value() + "/" + idempotencyKey;
    }
}
