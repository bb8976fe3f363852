package org.rattanport.decisions.lifecycle;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;

/** Tells callers which instances to use: alive ones, in random order, those nearby first. */
public final class AddressBook {
    /**
     * How many addresses an answer holds.
     *
     * @param near most addresses in the caller's data centre
     * @param far addresses elsewhere, so that callers survive the loss of a data centre
     * @param fewest addresses below which more of other data centres are added
     */
    public record Spread(int near, int far, int fewest) {
        /** Few addresses, which callers try in turn. */
        public static final Spread DEFAULTS = new Spread(3, 1, 4);
    }

    private final Membership mMembership;
    private final Spread mSpread;
    private final Random mRandom;

    public AddressBook(Membership membership, Spread spread, Random random) {
        mMembership = membership;
        mSpread = spread;
        mRandom = random;
    }

    /** Returns addresses for a caller in the given data centre; the name may be unknown. */
    public List<String> addresses(String dataCentre) {
        List<Member> alive = new ArrayList<>(mMembership.aliveMembers());
        Collections.shuffle(alive, mRandom);
        List<Member> chosen = new ArrayList<>();
        alive.stream()
                .filter(each -> each.dataCentre().equals(dataCentre))
                .limit(mSpread.near())
                .forEach(chosen::add);
        int others = Math.max(mSpread.far(), mSpread.fewest() - chosen.size());
        alive.stream().filter(each -> !chosen.contains(each)).limit(others).forEach(chosen::add);
        return chosen.stream().map(Member::callerAddress).toList();
    }
}
