package org.rattanport.decisions.lifecycle;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;

/** Tells callers which instances to use: alive ones, in random order, those nearby first. */
public final class AddressBook {
    private static final int ADDRESSES_PER_ANSWER = 4;

    private final Membership mMembership;
    private final Random mRandom;

    public AddressBook(Membership membership, Random random) {
        mMembership = membership;
        mRandom = random;
    }

    /** Returns addresses for a caller in the given data centre; the name may be unknown. */
    public List<String> addresses(String dataCentre) {
        List<Member> alive = new ArrayList<>(mMembership.aliveMembers());
        Collections.shuffle(alive, mRandom);
        List<Member> chosen = new ArrayList<>();
        alive.stream()
                .filter(each -> each.dataCentre().equals(dataCentre))
                .limit(ADDRESSES_PER_ANSWER - 1)
                .forEach(chosen::add);
        // The last address lies elsewhere, so that callers survive the loss of a data centre.
        alive.stream()
                .filter(each -> !chosen.contains(each))
                .limit(ADDRESSES_PER_ANSWER - chosen.size())
                .forEach(chosen::add);
        return chosen.stream().map(Member::callerAddress).toList();
    }
}
