package org.rattanport.decisions.environment;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.jboss.logging.Logger;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.DocumentParser;
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
 * Stores the versions of environment documents in the table service.
 *
 * <p>A change replaces the head row by compare-and-set and inserts its history row in the same
 * transaction. When the response is lost, a history row with the change id shows that the change
 * was accepted. When that row is absent, the store writes the same change again. The
 * compare-and-set makes this safe even if the first write is applied late.
 */
public final class DocumentStore {
    private static final Logger LOGGER = Logger.getLogger(DocumentStore.class);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
    private static final int MAX_STORED_VERSIONS = 200;

    private final TableService mTable;
    private final RowCodec mRowCodec;
    private final DocumentParser mDocumentParser;
    private final AuditTrail mAudit;
    private final TimeSource mTime;

    public DocumentStore(
            TableService table,
            RowCodec rowCodec,
            DocumentParser documentParser,
            AuditTrail audit,
            TimeSource time) {
        mTable = table;
        mRowCodec = rowCodec;
        mDocumentParser = documentParser;
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

    /** Returns the stored versions of a stage, oldest first. */
    public List<DocumentVersion> history(String environment, Stage stage, Deadline deadline) {
        String prefix = DocumentKeys.historyPrefix(environment, stage);
        return mTable.scan(prefix, "", 2 * MAX_STORED_VERSIONS, deadline).stream()
                .map(this::decode)
                .toList();
    }

    /**
     * Stores a new version, which is durable when this method returns.
     *
     * @param expectedVersion version that the operator edited; zero for the first
     * @throws RattanportException {@code VERSION_CONFLICT} when another version is current, {@code
     *     INVALID_DOCUMENT}, or {@code STORE_UNAVAILABLE} with the verdict that covers the change
     */
    public DocumentVersion put(
            String environment,
            Stage stage,
            String text,
            String operator,
            long expectedVersion,
            Deadline deadline) {
        String documentName = mDocumentParser.parse(text).name();
        if (!documentName.equals(environment)) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_DOCUMENT,
                            "the document has the name \""
                                    + documentName
                                    + "\", but the environment is "
                                    + environment)
                    .field("name")
                    .build();
        }
        return writeUntilConfirmed(
                newVersion(environment, stage, expectedVersion, operator, 0, text), deadline);
    }

    /**
     * Promotes a trial version to production.
     *
     * @param trialVersion version to promote; must be the current version of the trial stage
     * @param expectedProductionVersion production version to replace; zero for the first
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
        return writeUntilConfirmed(
                newVersion(
                        environment,
                        Stage.PRODUCTION,
                        expectedProductionVersion,
                        operator,
                        trialVersion,
                        trial.text()),
                deadline);
    }

    private DocumentVersion newVersion(
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

    /** Retries the write until its outcome is certain or the deadline passes. */
    private DocumentVersion writeUntilConfirmed(DocumentVersion change, Deadline deadline) {
        Verdict verdict = Verdict.NOT_RUN;
        Duration backoff = INITIAL_BACKOFF;
        while (true) {
            try {
                if (verdict == Verdict.MAY_HAVE_RUN && isStored(change, deadline)) {
                    return completeAccepted(change);
                }
                if (write(change, deadline)) {
                    return completeAccepted(change);
                }
                verdict = Verdict.MAY_HAVE_RUN;
            } catch (RattanportException e) {
                if (e.code() != ErrorCode.STORE_UNAVAILABLE) {
                    throw e;
                }
                verdict = verdict.combinedWith(e.verdict());
                if (deadline.remaining(mTime).compareTo(backoff) <= 0) {
                    recordAudit(change, "unknown: " + verdict.wireName());
                    throw e.withVerdict(verdict);
                }
            }
            mTime.sleep(backoff);
            backoff =
                    backoff.multipliedBy(2).compareTo(MAX_BACKOFF) < 0
                            ? backoff.multipliedBy(2)
                            : MAX_BACKOFF;
        }
    }

    /** Returns false when the head row changed during the write; the caller must check again. */
    private boolean write(DocumentVersion change, Deadline deadline) {
        String key = DocumentKeys.head(change.environment(), change.stage());
        Optional<Row> row = mTable.get(key, deadline);
        Optional<DocumentHead> head = row.map(this::decodeHead);
        if (head.filter(each -> each.changeId().equals(change.changeId())).isPresent()) {
            return true;
        }
        if (head.map(DocumentHead::version).orElse(0L) != change.version() - 1) {
            if (isStored(change, deadline)) {
                return true;
            }
            recordAudit(change, "refused: version conflict");
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
                                Optional.of(mRowCodec.encode(next))),
                        RowWrite.insert(historyKey, mRowCodec.encode(change)));
        return mTable.commit(writes, deadline) instanceof TransactionResult.Committed;
    }

    private boolean isStored(DocumentVersion change, Deadline deadline) {
        String key = DocumentKeys.history(change.environment(), change.stage(), change.version());
        return mTable.get(key, deadline)
                .map(this::decode)
                .filter(stored -> stored.changeId().equals(change.changeId()))
                .isPresent();
    }

    private DocumentVersion completeAccepted(DocumentVersion change) {
        recordAudit(change, "accepted");
        deleteExcessVersion(change);
        return change;
    }

    /**
     * Deletes the version that exceeds the limit on stored versions. A failed deletion is not
     * retried, so its row stays in the history.
     */
    private void deleteExcessVersion(DocumentVersion change) {
        long oldest = change.version() - MAX_STORED_VERSIONS;
        if (oldest <= 0) {
            return;
        }
        Deadline deadline = Deadline.after(mTime, MAX_BACKOFF);
        String key = DocumentKeys.history(change.environment(), change.stage(), oldest);
        try {
            mTable.get(key, deadline)
                    .ifPresent(row -> mTable.commit(List.of(RowWrite.delete(row)), deadline));
        } catch (RattanportException e) {
            LOGGER.debugf("cannot delete version %d from the history: %s", oldest, e.getMessage());
        }
    }

    private void recordAudit(DocumentVersion change, String outcome) {
        String action =
                change.promotedTrialVersion() > 0
                        ? "promote trial version " + change.promotedTrialVersion()
                        : "put";
        mAudit.record(
                new AuditEntry(
                        mTime.wallMillis(),
                        change.operator(),
                        "environment " + change.environment() + " " + change.stage().wireName(),
                        action + " as version " + change.version(),
                        outcome));
    }

    private static RattanportException conflict(
            Stage stage, long expected, Optional<DocumentVersion> current) {
        String currentDescription =
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
                                + stage.wireName()
                                + ", but "
                                + currentDescription
                                + "; read it, merge your change and put it again")
                .field("expected_version")
                .build();
    }

    private DocumentHead decodeHead(Row row) {
        return mRowCodec.decode(row.value(), DocumentHead.class);
    }

    private DocumentVersion decode(Row row) {
        return mRowCodec.decode(row.value(), DocumentVersion.class);
    }
}
