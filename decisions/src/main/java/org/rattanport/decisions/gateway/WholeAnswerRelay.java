package org.rattanport.decisions.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.time.Deadline;

/**
 * Holds a short answer until it is whole, so that one that breaks off has not reached the caller; a
 * long one is passed on as it comes.
 */
final class WholeAnswerRelay implements AnswerRelay {
    /** Longest answer that is held; those of plain services have a few kilobytes. */
    private static final int LONGEST_HELD = 65_536;

    private final CallerExchange mCaller;
    private final Runnable mOnAnswer;
    private boolean mHasStarted;

    WholeAnswerRelay(CallerExchange caller, Runnable onAnswer) {
        mCaller = caller;
        mOnAnswer = onAnswer;
    }

    @Override
    public void relay(AnswerHead head, BackEndExchange exchange, Deadline deadline) {
        GrowingBytes held = new GrowingBytes();
        Optional<byte[]> piece = exchange.next(deadline);
        while (piece.isPresent() && held.size() + piece.get().length <= LONGEST_HELD) {
            held.addAll(piece.get());
            piece = exchange.next(deadline);
        }
        mHasStarted = true;
        mOnAnswer.run();
        if (piece.isEmpty()) {
            mCaller.start(head, OptionalInt.of(held.size()));
            mCaller.write(held.toArray());
            mCaller.finish();
            return;
        }
        mCaller.start(head, OptionalInt.empty());
        mCaller.write(held.toArray());
        while (piece.isPresent()) {
            mCaller.write(piece.get());
            piece = exchange.next(deadline);
        }
        mCaller.finish();
    }

    @Override
    public boolean hasStarted() {
        return mHasStarted;
    }

    @Override
    public Optional<String> lastEventId() {
        return Optional.empty();
    }
}
