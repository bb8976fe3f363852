package org.rattanport.kernel.model;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RendezvousHashTest {
    private final List<String> mCandidates =
            IntStream.range(0, 20).mapToObj(i -> "instance-" + i).toList();

    @Nested
    final class Ordering {
        @Test
        void shouldNotDependOnTheOrderOfCandidates() {
            List<String> reversed = new ArrayList<>(mCandidates.reversed());
            assertThat(RendezvousHash.order("key", reversed, each -> each))
                    .isEqualTo(RendezvousHash.order("key", mCandidates, each -> each));
        }

        @Test
        void shouldMoveOnlyTheKeysOfARemovedCandidate() {
            List<String> remaining = mCandidates.subList(1, mCandidates.size());
            for (int i = 0; i < 500; i++) {
                String before = winner("key-" + i, mCandidates);
                if (!before.equals(mCandidates.getFirst())) {
                    assertThat(winner("key-" + i, remaining)).isEqualTo(before);
                }
            }
        }

        @Test
        void shouldDistributeKeysEvenly() {
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 20_000; i++) {
                counts.merge(winner("key-" + i, mCandidates), 1, Integer::sum);
            }
            counts.values()
                    .forEach(
                            count ->
                                    assertThat(count)
                                            .isIn(
                                                    com.google.common.collect.Range.closed(
                                                            800, 1200)));
        }

        private String winner(String key, List<String> candidates) {
            return RendezvousHash.order(key, candidates, each -> each).getFirst();
        }
    }
}
