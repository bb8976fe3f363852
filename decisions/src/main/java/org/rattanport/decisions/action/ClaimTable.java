package org.rattanport.decisions.action;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Stores the claims on idempotency keys, one row for each key.
 *
 * <p>The following rules ensure that a call runs at most once, although writes may be delayed,
 * responses may be lost and instances may pause. {@code specification/Claim.als} models the same
 * states and transitions.
 *
 * <ul>
 *   <li>An attempt sends only after the table service has confirmed its claim: by the response to
 *       the write, or by a read that returns the attempt id.
 *   <li>Only the attempt itself sets its row to {@code NOT_RUN}, and it never sends afterwards.
 *   <li>Another instance may change {@code SENDING} to {@code UNSETTLED}, but never to {@code
 *       NOT_RUN}: the owner may only be paused, and may still send when it resumes, also to targets
 *       that do not check fencing numbers.
 *   <li>An existing row is claimed again only in state {@code NOT_RUN}.
 * </ul>
 */
public final class ClaimTable {
    private static final Logger LOGGER = Logger.getLogger(ClaimTable.class);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(500);

    private final TableService mTable;
    private final ClaimWriter mWriter;
    private final RowCodec mCodec;
    private final InstanceId mSelf;
    private final TimeSource mTime;

    public ClaimTable(
            TableService table,
            ClaimWriter writer,
            RowCodec codec,
            InstanceId self,
            TimeSource time) {
        mTable = table;
        mWriter = writer;
        mCodec = codec;
        mSelf = self;
        mTime = time;
    }

    /** Outcome of an attempt to claim a key. */
    public sealed interface ClaimResult {
        /** The table service confirmed the claim of this attempt, which may now send. */
        record Granted(Claim claim) implements ClaimResult {}

        /** The row holds the claim of another attempt, or an outcome. */
        record Taken(Claim claim) implements ClaimResult {}
    }

    /**
     * Claims the key for a new attempt.
     *
     * @throws ClaimUnconfirmedException when the table service does not confirm the claim in time;
     *     the attempt must never send, and the caller must settle its row once the table service is
     *     available
     */
    public ClaimResult claim(String key, Fingerprint fingerprint, Deadline deadline) {
        Claim ownClaim =
                new Claim(
                        ClaimState.SENDING,
                        UUID.randomUUID().toString(),
                        mSelf.name(),
                        mSelf.incarnation(),
                        1,
                        fingerprint.value(),
                        mTime.wallMillis(),
                        0,
                        "");
        boolean mayBeWritten = false;
        Duration backoff = INITIAL_BACKOFF;
        // The first write skips the read and expects no row, since most keys are new.
        Optional<Row> lastRow = Optional.empty();
        while (true) {
            try {
                ownClaim = withNextFencingNumber(ownClaim, lastRow);
                if (mWriter.write(conditionalWrite(key, lastRow, ownClaim), deadline)) {
                    return new ClaimResult.Granted(ownClaim);
                }
                lastRow = mTable.get(key, deadline);
            } catch (RattanportException e) {
                mayBeWritten = mayBeWritten || e.verdict() != Verdict.NOT_RUN;
                requireTimeToRetry(key, ownClaim, mayBeWritten, deadline, backoff, e);
                mTime.sleep(backoff);
                backoff = nextBackoff(backoff);
                lastRow = readOrLastSeen(key, ownClaim, mayBeWritten, lastRow, deadline);
            }
            Optional<Claim> current = lastRow.map(this::decode);
            if (current.isPresent() && current.get().attemptId().equals(ownClaim.attemptId())) {
                return new ClaimResult.Granted(current.get());
            }
            if (current.isPresent() && !isClaimable(current.get(), fingerprint)) {
                return new ClaimResult.Taken(current.get());
            }
        }
    }

    private Claim withNextFencingNumber(Claim ownClaim, Optional<Row> lastRow) {
        long previous = lastRow.map(this::decode).map(Claim::fencingNumber).orElse(0L);
        return new Claim(
                ownClaim.state(),
                ownClaim.attemptId(),
                ownClaim.ownerName(),
                ownClaim.ownerIncarnation(),
                previous + 1,
                ownClaim.fingerprint(),
                mTime.wallMillis(),
                0,
                "");
    }

    private static boolean isClaimable(Claim current, Fingerprint fingerprint) {
        return current.state() == ClaimState.NOT_RUN
                && current.fingerprint().equals(fingerprint.value());
    }

    /**
     * Reads the row; returns the last row read when the table service is unavailable but time is
     * left.
     */
    private Optional<Row> readOrLastSeen(
            String key,
            Claim ownClaim,
            boolean mayBeWritten,
            Optional<Row> lastRow,
            Deadline deadline) {
        try {
            return mTable.get(key, deadline);
        } catch (RattanportException e) {
            requireTimeToRetry(key, ownClaim, mayBeWritten, deadline, INITIAL_BACKOFF, e);
            return lastRow;
        }
    }

    private void requireTimeToRetry(
            String key,
            Claim ownClaim,
            boolean mayBeWritten,
            Deadline deadline,
            Duration backoff,
            RattanportException cause) {
        if (cause.code() != ErrorCode.STORE_UNAVAILABLE
                || deadline.remaining(mTime).compareTo(backoff) <= 0) {
            throw new ClaimUnconfirmedException(key, ownClaim, mayBeWritten, cause);
        }
    }

    /** Reads the claim on a key. */
    public Optional<Claim> read(String key, Deadline deadline) {
        return mTable.get(key, deadline).map(this::decode);
    }

    /**
     * Sets the row of an attempt of this instance to the given outcome, whichever of its earlier
     * writes the table service has applied. The method is idempotent. A row in state {@code DONE}
     * stays.
     *
     * @return false when the row belongs to another attempt, true otherwise
     * @throws RattanportException {@code STORE_UNAVAILABLE}; the caller must retry
     */
    public boolean settle(String key, Claim outcome, Deadline deadline) {
        while (true) {
            Optional<Row> row = mTable.get(key, deadline);
            Optional<Claim> found = row.map(this::decode);
            if (found.isPresent() && !found.get().attemptId().equals(outcome.attemptId())) {
                return false;
            }
            if (found.isPresent() && found.get().state() == outcome.state()) {
                return true;
            }
            if (found.isPresent() && found.get().state() == ClaimState.DONE) {
                return true;
            }
            // An absent row is written too, so that a delayed insert of SENDING fails.
            if (mWriter.write(conditionalWrite(key, row, outcome), deadline)) {
                return true;
            }
        }
    }

    /** Marks the claim of an ended instance as unsettled; false when the row has changed. */
    public boolean markUnsettled(Row row, Deadline deadline) {
        Claim claim = decode(row).withState(ClaimState.UNSETTLED, mTime.wallMillis());
        LOGGER.infof(
                "marking claim %s of ended instance %s as unsettled", row.key(), claim.owner());
        return mWriter.write(RowWrite.update(row, mCodec.encode(claim)), deadline);
    }

    /** Deletes a row past its retention; false when the row has changed. */
    public boolean delete(Row row, Deadline deadline) {
        return mWriter.write(RowWrite.delete(row), deadline);
    }

    /** Returns a page of claim rows in key order. */
    public java.util.List<Row> scanPage(String afterKey, int limit, Deadline deadline) {
        return mTable.scan(ClaimKeys.PREFIX, afterKey, limit, deadline);
    }

    public Claim decode(Row row) {
        return mCodec.decode(row.value(), Claim.class);
    }

    private RowWrite conditionalWrite(String key, Optional<Row> row, Claim claim) {
        return new RowWrite(
                key,
                row.map(Row::revision).orElse(RowWrite.ABSENT),
                Optional.of(mCodec.encode(claim)));
    }

    private static Duration nextBackoff(Duration backoff) {
        Duration doubled = backoff.multipliedBy(2);
        return doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }
}
