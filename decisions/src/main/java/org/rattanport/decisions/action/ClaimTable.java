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
 * Claims on idempotency keys, one row each. {@code specification/Claim.als} has the same states and
 * steps.
 *
 * <ul>
 *   <li>An attempt may send only after it has seen its own row: by the answer to its insert, or by
 *       reading its own attempt id.
 *   <li>Only the attempt itself changes its row from {@code SENDING} to {@code NOT_RUN}, and never
 *       sends afterwards.
 *   <li>Another instance may change {@code SENDING} to {@code UNSETTLED}, and never to {@code
 *       NOT_RUN}: a paused owner may wake and send, also to targets that check no fencing number.
 *   <li>Only a row in {@code NOT_RUN} is claimed again.
 * </ul>
 */
public final class ClaimTable {
    private static final Logger LOGGER = Logger.getLogger(ClaimTable.class);
    private static final Duration FIRST_PAUSE = Duration.ofMillis(20);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(500);

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
        /** The claim is this attempt's, confirmed by the store: it may send. */
        record Granted(Claim claim) implements ClaimResult {}

        /** Someone else's claim, or an outcome, stands in the row. */
        record Taken(Claim claim) implements ClaimResult {}
    }

    /**
     * Claims the key for a new attempt.
     *
     * @throws ClaimUnknownException when the store gives no answer in time; the attempt must never
     *     send, and its row must be settled when the store answers again
     */
    public ClaimResult claim(String key, Fingerprint fingerprint, Deadline deadline) {
        Claim mine =
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
        Duration pause = FIRST_PAUSE;
        // The first write is tried without a read: a new key is by far the most frequent case.
        Optional<Row> seen = Optional.empty();
        while (true) {
            try {
                mine = nextAttempt(mine, seen);
                if (mWriter.write(writeOver(key, seen, mine), deadline)) {
                    return new ClaimResult.Granted(mine);
                }
                seen = mTable.get(key, deadline);
            } catch (RattanportException e) {
                mayBeWritten = mayBeWritten || e.verdict() != Verdict.NOT_RUN;
                requireTime(key, mine, mayBeWritten, deadline, pause, e);
                mTime.sleep(pause);
                pause = longer(pause);
                seen = readUntil(key, mine, mayBeWritten, seen, deadline);
            }
            Optional<Claim> found = seen.map(this::decode);
            if (found.isPresent() && found.get().attemptId().equals(mine.attemptId())) {
                return new ClaimResult.Granted(found.get());
            }
            if (found.isPresent() && !isClaimable(found.get(), fingerprint)) {
                return new ClaimResult.Taken(found.get());
            }
        }
    }

    private Claim nextAttempt(Claim mine, Optional<Row> seen) {
        long before = seen.map(this::decode).map(Claim::fencingNumber).orElse(0L);
        return new Claim(
                mine.state(),
                mine.attemptId(),
                mine.ownerName(),
                mine.ownerIncarnation(),
                before + 1,
                mine.fingerprint(),
                mTime.wallMillis(),
                0,
                "");
    }

    private static boolean isClaimable(Claim found, Fingerprint fingerprint) {
        return found.state() == ClaimState.NOT_RUN
                && found.fingerprint().equals(fingerprint.value());
    }

    private Optional<Row> readUntil(
            String key,
            Claim mine,
            boolean mayBeWritten,
            Optional<Row> lastSeen,
            Deadline deadline) {
        try {
            return mTable.get(key, deadline);
        } catch (RattanportException e) {
            requireTime(key, mine, mayBeWritten, deadline, FIRST_PAUSE, e);
            return lastSeen;
        }
    }

    private void requireTime(
            String key,
            Claim mine,
            boolean mayBeWritten,
            Deadline deadline,
            Duration pause,
            RattanportException cause) {
        if (cause.code() != ErrorCode.STORE_UNAVAILABLE
                || deadline.remaining(mTime).compareTo(pause) <= 0) {
            throw new ClaimUnknownException(key, mine, mayBeWritten, cause);
        }
    }

    /** Reads the claim of a key. */
    public Optional<Claim> read(String key, Deadline deadline) {
        return mTable.get(key, deadline).map(this::decode);
    }

    /**
     * Brings the row of an own attempt to the given state, whatever of its writes has landed. Safe
     * to repeat.
     *
     * @return whether the row now says so; false when the row belongs to another attempt
     * @throws RattanportException {@code STORE_UNAVAILABLE}, after which it must be called again
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
            // An absent row gets the outcome too: an insert of SENDING that lands late then fails.
            if (mWriter.write(writeOver(key, row, outcome), deadline)) {
                return true;
            }
        }
    }

    /** Marks the claim of an ended instance as unsettled; false when it has changed meanwhile. */
    public boolean abandon(Row row, Deadline deadline) {
        Claim claim = decode(row).with(ClaimState.UNSETTLED, mTime.wallMillis());
        LOGGER.infof("claim %s of ended instance %s is unsettled", row.key(), claim.owner());
        return mWriter.write(RowWrite.update(row, mCodec.encode(claim)), deadline);
    }

    /** Deletes a row that is past its retention. */
    public boolean forget(Row row, Deadline deadline) {
        return mWriter.write(RowWrite.delete(row), deadline);
    }

    /** Returns a page of claim rows in key order. */
    public java.util.List<Row> page(String afterKey, int limit, Deadline deadline) {
        return mTable.scan(ClaimKeys.PREFIX, afterKey, limit, deadline);
    }

    public Claim decode(Row row) {
        return mCodec.decode(row.value(), Claim.class);
    }

    private RowWrite writeOver(String key, Optional<Row> row, Claim claim) {
        return new RowWrite(
                key,
                row.map(Row::revision).orElse(RowWrite.ABSENT),
                Optional.of(mCodec.encode(claim)));
    }

    private static Duration longer(Duration pause) {
        Duration doubled = pause.multipliedBy(2);
        return doubled.compareTo(LONGEST_PAUSE) < 0 ? doubled : LONGEST_PAUSE;
    }
}
