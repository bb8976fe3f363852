package org.rattanport.decisions.lifecycle;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;

/**
 * Selects the addresses that callers get: alive instances in random order, those in the caller's
 * data centre first. Where capacities differ, an instance is first, and is in the list at all, with
 * a probability in proportion to its capacity, as some callers use the first address and others any
 * one.
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
        List<Member> local =
                alive.stream().filter(each -> each.dataCentre().equals(dataCentre)).toList();
        List<Member> chosen = new ArrayList<>();
        inProportion(local).stream().limit(mCounts.maxLocal()).forEach(chosen::add);
        int others = Math.max(mCounts.minOthers(), mCounts.minTotal() - chosen.size());
        List<Member> remaining = alive.stream().filter(each -> !chosen.contains(each)).toList();
        orderByCapacity(remaining).stream().limit(others).forEach(chosen::add);
        return chosen.stream().map(Member::callerAddress).toList();
    }

    /** Leaves members out in proportion to their capacity, but never all. */
    private List<Member> inProportion(List<Member> shuffled) {
        int largest = shuffled.stream().mapToInt(AddressSelector::capacity).max().orElse(0);
        List<Member> named = new ArrayList<>();
        for (Member each : orderByCapacity(shuffled)) {
            boolean isNamed =
                    named.isEmpty()
                            || capacity(each) == largest
                            || mRandom.nextDouble() * largest < capacity(each);
            if (isNamed) {
                named.add(each);
            }
        }
        return named;
    }

    /** Orders members so that each comes next in proportion to its capacity. */
    private List<Member> orderByCapacity(List<Member> shuffled) {
        if (shuffled.stream().mapToInt(AddressSelector::capacity).distinct().count() <= 1) {
            return shuffled;
        }
        record Drawn(Member member, double order) {}
        return shuffled.stream()
                .map(each -> new Drawn(each, -Math.log(mRandom.nextDouble()) / capacity(each)))
                .sorted(Comparator.comparingDouble(Drawn::order))
                .map(Drawn::member)
                .toList();
    }

    private static int capacity(Member member) {
        return Math.max(1, member.capacityMillicores());
    }
}
