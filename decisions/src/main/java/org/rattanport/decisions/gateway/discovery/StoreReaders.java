package org.rattanport.decisions.gateway.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;

/**
 * Chooses the instances that read the store for the others: two in each data centre, by rendezvous
 * hashing over the members, so that a store that is silent to some instances is not silent to all
 * readers. Members that start or drain count, as they read the store anyway or still respond.
 */
public final class StoreReaders {
    private static final String KEY = "store-reader";

    private static final int READERS_PER_DATA_CENTRE = 2;

    /** The readers as of a state of the member table. */
    private record Choice(long changeCount, List<Member> readers) {}

    private final MemberTable mMembers;
    private volatile Choice mChoice = new Choice(-1, List.of());

    public StoreReaders(MemberTable members) {
        mMembers = members;
    }

    /** Whether this instance is a reader of its data centre. */
    public boolean isReader() {
        return readers().stream().anyMatch(each -> each.id().equals(mMembers.self().id()));
    }

    /** The other readers; those of this instance's data centre come first. */
    List<Member> others() {
        Member self = mMembers.self();
        List<Member> others =
                readers().stream().filter(each -> !each.id().equals(self.id())).toList();
        List<Member> ordered =
                new ArrayList<>(
                        RendezvousHash.order(self.id().name(), others, each -> each.id().name()));
        ordered.sort(Comparator.comparing(each -> !isLocal(each)));
        return ordered;
    }

    /** Whether the member is in the data centre of this instance. */
    boolean isLocal(Member member) {
        return member.dataCentre().equals(mMembers.self().dataCentre());
    }

    private List<Member> readers() {
        long changeCount = mMembers.changeCount();
        Choice known = mChoice;
        if (known.changeCount() != changeCount) {
            known = new Choice(changeCount, chooseReaders());
            mChoice = known;
        }
        return known.readers();
    }

    private List<Member> chooseReaders() {
        Map<String, List<Member>> byDataCentre =
                mMembers.members().stream()
                        .filter(
                                each ->
                                        each.state() == MemberState.ALIVE
                                                || each.state() == MemberState.LEAVING)
                        .collect(
                                Collectors.groupingBy(
                                        Member::dataCentre, TreeMap::new, Collectors.toList()));
        return byDataCentre.values().stream()
                .map(
                        members ->
                                RendezvousHash.orderByCapacity(
                                        KEY, members, each -> each.id().name(), Member::dutyWeight))
                .flatMap(members -> members.stream().limit(READERS_PER_DATA_CENTRE))
                .toList();
    }
}
