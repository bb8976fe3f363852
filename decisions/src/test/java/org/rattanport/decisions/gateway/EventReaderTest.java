package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.EventReader.Event;

final class EventReaderTest {
    private final EventReader mReader = new EventReader();

    private List<Event> take(String text) {
        return mReader.take(text.getBytes(StandardCharsets.UTF_8));
    }

    @Nested
    final class Cutting {
        @Test
        void shouldGiveOnlyWholeEvents() {
            assertThat(take("id: 1\ndata: a\n")).isEmpty();
            List<Event> events = take("\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
            assertThat(events.stream().map(each -> each.id().orElse("")).toList())
                    .containsExactly("1", "2")
                    .inOrder();
            assertThat(new String(mReader.rest(), StandardCharsets.UTF_8)).isEqualTo("id: 3\nda");
        }

        @Test
        void shouldGiveTheSameEventsHoweverTheBytesAreCut() {
            String text = "id: 1\ndata: x\n\ndata: no id\n\nid: 12\ndata: y\ndata: z\n\n";
            for (int seed = 0; seed < 50; seed++) {
                Random random = new Random(seed);
                EventReader reader = new EventReader();
                StringBuilder all = new StringBuilder();
                List<Event> events = new ArrayList<>();
                int at = 0;
                while (at < text.length()) {
                    int end = Math.min(text.length(), at + 1 + random.nextInt(9));
                    events.addAll(
                            reader.take(text.substring(at, end).getBytes(StandardCharsets.UTF_8)));
                    at = end;
                }
                events.forEach(
                        each -> all.append(new String(each.bytes(), StandardCharsets.UTF_8)));
                assertThat(all.toString()).isEqualTo(text);
                assertThat(events).hasSize(3);
            }
        }
    }

    @Nested
    final class Numbers {
        @Test
        void shouldReadNumericIdsOnly() {
            assertThat(take("id: 7\n\n").getFirst().number().getAsLong()).isEqualTo(7);
            assertThat(take("id: x7\n\n").getFirst().number().isPresent()).isFalse();
            assertThat(take("data: 1\n\n").getFirst().number().isPresent()).isFalse();
        }
    }
}
