package org.rattanport.decisions.lifecycle;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;

/**
 * Selects the addresses that callers get: alive instances in random order, those in the caller's
 * data centre first.
 */
public final class AddressSelector {
    /**
     * Numbers of addresses in a response.
     *
     * @param maxLocal maximum number of addresses in the caller's data centre
     * @param minOthers minimum number of further addresses, so that callers survive the loss of a
     *     data centre
     * @param minTotal total number below which more addresses of other data centres are added
     */
    public record AddressCounts(int maxLocal, int minOthers, int minTotal) {
        /** A short list, which callers try in order. */
        public static final AddressCounts DEFAULTS = new AddressCounts(3, 1, 4);
    }

    private final Membership mMembership;
    private final AddressCounts mCounts;
    private final Random mRandom;

    public AddressSelector(Membership membership, AddressCounts counts, Random random) {
        mMembership = membership;
        mCounts = counts;
        mRandom = random;
    }

    /** Returns addresses for a caller in the given data centre; the name may be unknown. */
    public List<String> addresses(String dataCentre) {
        return addresses(dataCentre, member -> true);
    }

    /** Returns addresses of instances that the caller may be sent to. */
    public List<String> addresses(String dataCentre, Predicate<Member> isAllowed) {
        List<Member> alive =
                new ArrayList<>(mMembership.aliveMembers().stream().filter(isAllowed).toList());
        Collections.shuffle(alive, mRandom);
        List<Member> chosen = new ArrayList<>();
        alive.stream()
                .filter(each -> each.dataCentre().equals(dataCentre))
                .limit(mCounts.maxLocal())
                .forEach(chosen::add);
        int others = Math.max(mCounts.minOthers(), mCounts.minTotal() - chosen.size());
        alive.stream().filter(each -> !chosen.contains(each)).limit(others).forEach(chosen::add);
        return chosen.stream().map(Member::callerAddress).toList();
    }
}
