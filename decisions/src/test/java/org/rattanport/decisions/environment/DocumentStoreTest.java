package org.rattanport.decisions.environment;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.decisions.FakeRowCodec;
import org.rattanport.decisions.FakeTable;
import org.rattanport.decisions.StoreFault;
import org.rattanport.decisions.TestDocuments;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.DocumentParser;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

final class DocumentStoreTest {
    private static final String ENVIRONMENT = TestDocuments.ENVIRONMENT;
    private static final int MAX_STORED_VERSIONS = 200;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<AuditEntry> mAudit = new ArrayList<>();
    private FakeTable mTable = new FakeTable(1);
    private final FakeRowCodec mCodec = new FakeRowCodec();

    @Nested
    final class Putting {
        @Test
        void shouldNumberVersionsFromOne() {
            assertThat(put("a", 0).version()).isEqualTo(1);
            assertThat(put("b", 1).version()).isEqualTo(2);
            assertThat(newStore().history(ENVIRONMENT, Stage.TRIAL, deadline())).hasSize(2);
        }

        @Test
        void shouldNameTheExpectedAndTheCurrentVersionOnConflict() {
            put("a", 0);
            put("b", 1);
            RattanportException error = assertThrows(RattanportException.class, () -> put("c", 1));
            assertThat(error.code()).isEqualTo(ErrorCode.VERSION_CONFLICT);
            assertThat(error).hasMessageThat().contains("you expected version 1");
            assertThat(error).hasMessageThat().contains("version 2 by b is current");
        }

        @Test
        void shouldReportStoreUnavailableWhileTheStoreIsDown() {
            mTable.setDown(true);
            RattanportException error = assertThrows(RattanportException.class, () -> put("a", 0));
            assertThat(error.code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
        }

        @Test
        void shouldAuditTheOutcomeOfEachChange() {
            put("a", 0);
            assertThrows(RattanportException.class, () -> put("b", 0));
            assertThat(mAudit.stream().map(AuditEntry::outcome).toList())
                    .containsExactly("accepted", "refused: version conflict")
                    .inOrder();
        }
    }

    @Nested
    final class FaultTable {
        @ParameterizedTest
        @CsvSource({
            "NONE, 0, 1",
            "NOT_SENT, 0.4, 2",
            "LOST_REQUEST, 0.4, 3",
            "LOST_ANSWER, 0.4, 4",
            "LATE_WRITE, 0.4, 5",
            "LATE_WRITE, 0.8, 6"
        })
        void shouldStoreEveryAcceptedChangeUnderItsVersion(
                StoreFault fault, double probability, long seed) {
            mTable = new FakeTable(seed);
            mTable.injectRandomFaults(fault, probability);
            List<DocumentVersion> accepted = new ArrayList<>();
            long expected = 0;
            for (int i = 0; i < 300; i++) {
                try {
                    DocumentVersion version = put("operator-" + i, expected);
                    accepted.add(version);
                    expected = version.version();
                } catch (RattanportException e) {
                    expected = currentVersion();
                }
            }
            mTable.applyLateWrites();
            mTable.injectRandomFaults(StoreFault.NONE, 0);
            List<DocumentVersion> history =
                    newStore().history(ENVIRONMENT, Stage.TRIAL, deadline());
            Set<Long> versions = new HashSet<>();
            history.forEach(each -> assertThat(versions.add(each.version())).isTrue());
            long latest = history.getLast().version();
            accepted.stream()
                    .filter(each -> each.version() > latest - MAX_STORED_VERSIONS)
                    .forEach(each -> assertThat(history).contains(each));
            assertThat(accepted).isNotEmpty();
        }

        private long currentVersion() {
            return newStore()
                    .read(ENVIRONMENT, Stage.TRIAL, deadline())
                    .map(DocumentVersion::version)
                    .orElse(0L);
        }
    }

    @Nested
    final class Promoting {
        @Test
        void shouldRecordThePromotedTrialVersion() {
            put("a", 0);
            DocumentVersion promoted = newStore().promote(ENVIRONMENT, "boss", 1, 0, deadline());
            assertThat(promoted.stage()).isEqualTo(Stage.PRODUCTION);
            assertThat(promoted.promotedTrialVersion()).isEqualTo(1);
        }

        @Test
        void shouldRejectATrialVersionThatIsNotCurrent() {
            put("a", 0);
            put("b", 1);
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> newStore().promote(ENVIRONMENT, "boss", 1, 0, deadline()));
            assertThat(error.code()).isEqualTo(ErrorCode.VERSION_CONFLICT);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
        }
    }

    @Nested
    final class Activation {
        @Test
        void shouldNotReplaceANewerVersionByAnOlderOne() {
            EnvironmentHolder holder =
                    new EnvironmentHolder(ENVIRONMENT, documentParser(), new EventStreams());
            DocumentVersion first = put("a", 0);
            DocumentVersion second = put("b", 1);
            assertThat(holder.activateIfNewer(second)).isTrue();
            assertThat(holder.activateIfNewer(first)).isFalse();
            assertThat(holder.activeVersion(Stage.TRIAL)).isEqualTo(2);
        }

        @Test
        void shouldIgnoreDocumentsOfOtherEnvironments() {
            EnvironmentHolder holder =
                    new EnvironmentHolder("another", documentParser(), new EventStreams());
            assertThat(holder.activateIfNewer(put("a", 0))).isFalse();
        }
    }

    private DocumentVersion put(String operator, long expected) {
        return newStore()
                .put(ENVIRONMENT, Stage.TRIAL, ENVIRONMENT, operator, expected, deadline());
    }

    private DocumentStore newStore() {
        return new DocumentStore(
                mTable,
                mCodec,
                documentParser(),
                new AuditTrail() {
                    @Override
                    public void record(AuditEntry entry) {
                        mAudit.add(entry);
                    }

                    @Override
                    public List<AuditEntry> latest(int limit, Deadline deadline) {
                        return mAudit;
                    }
                },
                mTime);
    }

    private static DocumentParser documentParser() {
        return text -> TestDocuments.document();
    }

    private Deadline deadline() {
        return Deadline.after(mTime, Duration.ofSeconds(5));
    }
}
