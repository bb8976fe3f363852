package org.rattanport.decisions.environment;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.jboss.logging.Logger;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.DocumentCodec;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.platform.TransactionResult;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Keeps the versions of environment documents in the table service.
 *
 * <p>A change replaces the current row by compare-and-set and inserts its history row in the same
 * transaction. When the answer is lost, the history row with the change id tells whether the change
 * was accepted; when it is absent the same change is written again, which the compare-and-set makes
 * safe even if the first write lands late.
 */
public final class DocumentStore {
    private static final Logger LOGGER = Logger.getLogger(DocumentStore.class);
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);
    private static final int KEPT_VERSIONS = 200;

    private final TableService mTable;
    private final RowCodec mRows;
    private final DocumentCodec mDocuments;
    private final AuditTrail mAudit;
    private final TimeSource mTime;

    public DocumentStore(
            TableService table,
            RowCodec rows,
            DocumentCodec documents,
            AuditTrail audit,
            TimeSource time) {
        mTable = table;
        mRows = rows;
        mDocuments = documents;
        mAudit = audit;
        mTime = time;
    }

    /** Reads the current version of a stage. */
    public Optional<DocumentVersion> read(String environment, Stage stage, Deadline deadline) {
        return readNewer(environment, stage, 0, deadline);
    }

    /** Reads the current version of a stage if it is newer than the given one. */
    public Optional<DocumentVersion> readNewer(
            String environment, Stage stage, long version, Deadline deadline) {
        return mTable.get(DocumentKeys.head(environment, stage), deadline)
                .map(this::decodeHead)
                .filter(head -> head.version() > version)
                .flatMap(
                        head ->
                                mTable.get(
                                        DocumentKeys.history(environment, stage, head.version()),
                                        deadline))
                .map(this::decode);
    }

    /** Returns all versions of a stage, the oldest first. */
    public List<DocumentVersion> history(String environment, Stage stage, Deadline deadline) {
        String prefix = DocumentKeys.historyPrefix(environment, stage);
        return mTable.scan(prefix, "", 2 * KEPT_VERSIONS, deadline).stream()
                .map(this::decode)
                .toList();
    }

    /**
     * Accepts a new version; durable when this returns.
     *
     * @param expectedVersion version that the operator edited; zero for the first
     * @throws RattanportException {@code VERSION_CONFLICT} when another version is current, {@code
     *     INVALID_DOCUMENT}, or {@code STORE_UNAVAILABLE} with the verdict on the change
     */
    public DocumentVersion put(
            String environment,
            Stage stage,
            String text,
            String operator,
            long expectedVersion,
            Deadline deadline) {
        String named = mDocuments.parse(text).name();
        if (!named.equals(environment)) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_DOCUMENT,
                            "the document is named \"" + named + "\", not " + environment)
                    .field("name")
                    .build();
        }
        return accept(version(environment, stage, expectedVersion, operator, 0, text), deadline);
    }

    /**
     * Promotes a trial version to production.
     *
     * @param trialVersion version that must be the current one of the trial stage
     * @param expectedProductionVersion version that it replaces; zero for the first
     */
    public DocumentVersion promote(
            String environment,
            String operator,
            long trialVersion,
            long expectedProductionVersion,
            Deadline deadline) {
        DocumentVersion trial =
                read(environment, Stage.TRIAL, deadline)
                        .orElseThrow(() -> conflict(Stage.TRIAL, trialVersion, Optional.empty()));
        if (trial.version() != trialVersion) {
            throw conflict(Stage.TRIAL, trialVersion, Optional.of(trial));
        }
        return accept(
                version(
                        environment,
                        Stage.PRODUCTION,
                        expectedProductionVersion,
                        operator,
                        trialVersion,
                        trial.text()),
                deadline);
    }

    private DocumentVersion version(
            String environment,
            Stage stage,
            long expectedVersion,
            String operator,
            long promotedTrialVersion,
            String text) {
        return new DocumentVersion(
                environment,
                stage,
                expectedVersion + 1,
                UUID.randomUUID().toString(),
                operator,
                mTime.wallMillis(),
                promotedTrialVersion,
                text);
    }

    private DocumentVersion accept(DocumentVersion change, Deadline deadline) {
        Verdict verdict = Verdict.NOT_RUN;
        Duration pause = FIRST_PAUSE;
        while (true) {
            try {
                if (verdict == Verdict.MAY_HAVE_RUN && hasLanded(change, deadline)) {
                    return accepted(change);
                }
                if (write(change, deadline)) {
                    return accepted(change);
                }
                verdict = Verdict.MAY_HAVE_RUN;
            } catch (RattanportException e) {
                if (e.code() != ErrorCode.STORE_UNAVAILABLE) {
                    throw e;
                }
                verdict = verdict.and(e.verdict());
                if (deadline.remaining(mTime).compareTo(pause) <= 0) {
                    audit(change, "unknown: " + verdict.text());
                    throw e.withVerdict(verdict);
                }
            }
            mTime.sleep(pause);
            pause =
                    pause.multipliedBy(2).compareTo(LONGEST_PAUSE) < 0
                            ? pause.multipliedBy(2)
                            : LONGEST_PAUSE;
        }
    }

    /** Returns false when the row changed under the write, so that it must be looked at again. */
    private boolean write(DocumentVersion change, Deadline deadline) {
        String key = DocumentKeys.head(change.environment(), change.stage());
        Optional<Row> row = mTable.get(key, deadline);
        Optional<DocumentHead> head = row.map(this::decodeHead);
        if (head.filter(each -> each.changeId().equals(change.changeId())).isPresent()) {
            return true;
        }
        if (head.map(DocumentHead::version).orElse(0L) != change.version() - 1) {
            if (hasLanded(change, deadline)) {
                return true;
            }
            audit(change, "refused: version conflict");
            throw conflict(
                    change.stage(),
                    change.version() - 1,
                    read(change.environment(), change.stage(), deadline));
        }
        DocumentHead next = new DocumentHead(change.version(), change.changeId());
        String historyKey =
                DocumentKeys.history(change.environment(), change.stage(), change.version());
        List<RowWrite> writes =
                List.of(
                        new RowWrite(
                                key,
                                row.map(Row::revision).orElse(RowWrite.ABSENT),
                                Optional.of(mRows.encode(next))),
                        RowWrite.insert(historyKey, mRows.encode(change)));
        return mTable.commit(writes, deadline) instanceof TransactionResult.Committed;
    }

    private boolean hasLanded(DocumentVersion change, Deadline deadline) {
        String key = DocumentKeys.history(change.environment(), change.stage(), change.version());
        return mTable.get(key, deadline)
                .map(this::decode)
                .filter(landed -> landed.changeId().equals(change.changeId()))
                .isPresent();
    }

    private DocumentVersion accepted(DocumentVersion change) {
        audit(change, "accepted");
        deleteOldest(change);
        return change;
    }

    /**
     * Keeps the history bounded; a row that is left behind by a failure stays until a later scan.
     */
    private void deleteOldest(DocumentVersion change) {
        long oldest = change.version() - KEPT_VERSIONS;
        if (oldest <= 0) {
            return;
        }
        Deadline deadline = Deadline.after(mTime, LONGEST_PAUSE);
        String key = DocumentKeys.history(change.environment(), change.stage(), oldest);
        try {
            mTable.get(key, deadline)
                    .ifPresent(row -> mTable.commit(List.of(RowWrite.delete(row)), deadline));
        } catch (RattanportException e) {
            LOGGER.debugf("version %d is not deleted: %s", oldest, e.getMessage());
        }
    }

    private void audit(DocumentVersion change, String outcome) {
        String what =
                change.promotedTrialVersion() > 0
                        ? "promote trial version " + change.promotedTrialVersion()
                        : "put";
        mAudit.record(
                new AuditEntry(
                        mTime.wallMillis(),
                        change.operator(),
                        "environment " + change.environment() + " " + change.stage().text(),
                        what + " as version " + change.version(),
                        outcome));
    }

    private static RattanportException conflict(
            Stage stage, long expected, Optional<DocumentVersion> current) {
        String theirs =
                current.map(
                                each ->
                                        "version "
                                                + each.version()
                                                + " by "
                                                + each.operator()
                                                + " is current")
                        .orElse("there is no version yet");
        return RattanportException.builder(
                        ErrorCode.VERSION_CONFLICT,
                        "you expected version "
                                + expected
                                + " of "
                                + stage.text()
                                + ", but "
                                + theirs
                                + "; read it, merge your change and put it again")
                .field("expected_version")
                .build();
    }

    private DocumentHead decodeHead(Row row) {
        return mRows.decode(row.value(), DocumentHead.class);
    }

    private DocumentVersion decode(Row row) {
        return mRows.decode(row.value(), DocumentVersion.class);
    }
}
