package org.rattanport.decisions.gateway.relay;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.relay.EventStreamParser.Event;

final class EventStreamParserTest {
    private final EventStreamParser mParser = new EventStreamParser();

    private List<Event> feed(String stream) {
        return mParser.feed(stream.getBytes(StandardCharsets.UTF_8));
    }

    @Nested
    final class Splitting {
        @Test
        void shouldReturnOnlyCompleteEvents() {
            assertThat(feed("id: 1\ndata: a\n")).isEmpty();
            List<Event> events = feed("\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
            assertThat(events.stream().map(each -> each.id().orElse("")).toList())
                    .containsExactly("1", "2")
                    .inOrder();
            assertThat(new String(mParser.remainder(), StandardCharsets.UTF_8))
                    .isEqualTo("id: 3\nda");
        }

        @Test
        void shouldReturnSameEventsForAnyChunking() {
            String stream = "id: 1\ndata: x\n\ndata: no id\n\nid: 12\ndata: y\ndata: z\n\n";
            for (int seed = 0; seed < 50; seed++) {
                Random random = new Random(seed);
                EventStreamParser parser = new EventStreamParser();
                StringBuilder joined = new StringBuilder();
                List<Event> events = new ArrayList<>();
                int start = 0;
                while (start < stream.length()) {
                    int end = Math.min(stream.length(), start + 1 + random.nextInt(9));
                    events.addAll(
                            parser.feed(
                                    stream.substring(start, end).getBytes(StandardCharsets.UTF_8)));
                    start = end;
                }
                events.forEach(
                        each -> joined.append(new String(each.bytes(), StandardCharsets.UTF_8)));
                assertThat(joined.toString()).isEqualTo(stream);
                assertThat(events).hasSize(3);
            }
        }
    }

    @Nested
    final class EventNumbers {
        @Test
        void shouldParseOnlyNumericIds() {
            assertThat(feed("id: 7\n\n").getFirst().number().getAsLong()).isEqualTo(7);
            assertThat(feed("id: x7\n\n").getFirst().number().isPresent()).isFalse();
            assertThat(feed("data: 1\n\n").getFirst().number().isPresent()).isFalse();
        }
    }
}
