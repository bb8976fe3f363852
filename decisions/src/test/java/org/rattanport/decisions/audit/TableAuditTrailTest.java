package org.rattanport.decisions.audit;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.FakeRowCodec;
import org.rattanport.decisions.FakeTable;
import org.rattanport.decisions.StoreFault;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

final class TableAuditTrailTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final FakeTable mTable = new FakeTable(1);
    private final TableAuditTrail mTrail =
            new TableAuditTrail(mTable, new FakeRowCodec(), new InstanceId("a", 1), mTime);

    @Nested
    final class Flushing {
        @Test
        void shouldReturnTheLatestEntriesFirst() {
            record("first");
            mTime.advance(Duration.ofSeconds(1));
            record("second");
            mTrail.flush();
            assertThat(subjects()).containsExactly("second", "first").inOrder();
        }

        @Test
        void shouldWriteEachEntryOnceWhenAResponseIsLost() {
            record("first");
            mTable.injectFaults(StoreFault.LOST_ANSWER);
            assertThrows(RattanportException.class, mTrail::flush);
            mTime.advance(Duration.ofSeconds(1));
            record("second");
            mTrail.flush();
            mTrail.flush();
            assertThat(subjects()).containsExactly("second", "first").inOrder();
        }
    }

    private void record(String subject) {
        mTrail.record(new AuditEntry(mTime.wallMillis(), "me", subject, "change", "accepted"));
    }

    private java.util.List<String> subjects() {
        return mTrail.latest(10, Deadline.after(mTime, Duration.ofSeconds(1))).stream()
                .map(AuditEntry::subject)
                .toList();
    }
}
