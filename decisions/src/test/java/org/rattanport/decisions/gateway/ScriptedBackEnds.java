package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Back ends that react to each attempt as scripted. */
final class ScriptedBackEnds implements BackEndClient {
    /** How a back end reacts to the next attempt. */
    enum Reaction {
        RESPOND,
        REFUSE,
        NO_CONNECTION,
        LOSE_RESPONSE,
        FAIL,
        UNSIGNED,
        OTHER_ATTEMPT,
        REFUSE_OTHER_ATTEMPT,
        SILENT,
        /** Streams one event. */
        STREAM,
        /** Streams one event and breaks off. */
        BREAK_OFF,
        /** Streams one event and a part of the next, and ends as if it were complete. */
        END_INSIDE_EVENT,
        /** Succeeds with text that is no event. */
        TEXT,
        /** Streams one event and then bytes without end that complete no event. */
        ENDLESS,
        /** Streams one event, stalls, and streams the next, also to a reader that asks again. */
        STALL,
        /** Does so with a wrong id of the first event. */
        STALL_AFTER_WRONG_ID,
        /** Stalls after its head, and streams one event. */
        STALL_AFTER_HEAD,
        /** Streams one event, and then a byte now and then that completes no event. */
        TRICKLE,
        /** Refuses without the promise that the request has not run. */
        REFUSE_WITHOUT_PROMISE,
        /** Sends more of a plain response than is buffered, and breaks off. */
        LONG_BREAK_OFF,
        /** Rejects the request, and breaks off inside the error text. */
        FAIL_BROKEN_OFF,
        /** Responds and says that it leaves. */
        LEAVING,
        LEAVING_REFUSAL,
        LEAVING_ERROR,
        /** Streams one event, says that it leaves, and breaks off. */
        LEAVING_BROKEN_STREAM,
        /** Refuses and asks for a pause of two seconds. */
        PAUSE,
        /** Does not respond before the attempt is aborted. */
        CUT,
        /** Streams one event; the attempt is aborted before the next. */
        CUT_IN_STREAM
    }

    private static final byte[] ENDLESS_CHUNK = "x".repeat(8_192).getBytes(StandardCharsets.UTF_8);

    /** Chunks of a response that is too long to buffer. */
    private static final int LONG_CHUNKS = 12;

    /** Bytes of one response that an instance may keep in memory. */
    private static final int MAX_ENDLESS_BYTES = 1_048_576;

    private static final Duration STALL_DURATION = Duration.ofMillis(1_500);

    private static final Duration TRICKLE_INTERVAL = Duration.ofMillis(300);

    private static final Duration PAUSE_TIME = Duration.ofSeconds(2);

    private final ManualTimeSource mTime;
    private final Deque<Reaction> mReactions = new ArrayDeque<>();
    private final List<Attempt> mAttempts = new ArrayList<>();
    private int mEndlessBytes;

    /** The rate limit that each back end names in its responses. */
    Optional<RateLimit> mRateLimit = Optional.empty();

    /** What happens while the connection to a back end is opened. */
    Runnable mDuringConnect = () -> {};

    /** What happens while the response of a back end is awaited. */
    Runnable mWhileWaiting = () -> {};

    ScriptedBackEnds(ManualTimeSource time) {
        mTime = time;
    }

    /** The head of a successful response of a back end that leaves. */
    static ResponseHead leavingHead() {
        return ResponseHead.builder(200).signed(true).leaving(true).build();
    }

    /** The reactions to the next attempts, in order. */
    Deque<Reaction> reactions() {
        return mReactions;
    }

    /** The attempts that reached a back end. */
    List<Attempt> attempts() {
        return mAttempts;
    }

    @Override
    public BackEndExchange send(Attempt attempt, Deadline connectDeadline, Runnable beforeWriting) {
        mDuringConnect.run();
        beforeWriting.run();
        mAttempts.add(attempt);
        Reaction reaction = mReactions.removeFirst();
        if (reaction == Reaction.NO_CONNECTION) {
            throw new RattanportException(ErrorCode.TARGET_FAILED, "no connection");
        }
        return new ScriptedExchange(attempt, reaction);
    }

    private final class ScriptedExchange implements BackEndExchange {
        private final Attempt mAttempt;
        private final Reaction mReaction;
        private int mChunks;
        private Duration mRemainingStall = Duration.ZERO;

        private ScriptedExchange(Attempt attempt, Reaction reaction) {
            mAttempt = attempt;
            mReaction = reaction;
        }

        @Override
        public ResponseHead awaitHead(Deadline deadline) {
            return switch (mReaction) {
                case CUT -> throw cut();
                case LOSE_RESPONSE -> throw failure(ErrorCode.TARGET_FAILED);
                case SILENT -> {
                    mTime.advance(deadline.remaining(mTime));
                    throw failure(ErrorCode.DEADLINE_EXCEEDED);
                }
                case REFUSE, REFUSE_OTHER_ATTEMPT, LEAVING_REFUSAL, PAUSE ->
                        responseHead(503, true, false);
                case REFUSE_WITHOUT_PROMISE -> responseHead(503, false, true);
                case FAIL_BROKEN_OFF -> responseHead(404, false, true);
                case FAIL, LEAVING_ERROR -> responseHead(500, false, true);
                case UNSIGNED -> responseHead(200, false, false);
                default -> responseHead(200, false, true);
            };
        }

        private ResponseHead responseHead(int status, boolean isNotRun, boolean isSigned) {
            boolean isForeign =
                    mReaction == Reaction.OTHER_ATTEMPT
                            || mReaction == Reaction.REFUSE_OTHER_ATTEMPT;
            String id = isForeign ? "other" : mAttempt.request().attemptId();
            return ResponseHead.builder(status)
                    .attemptId(Optional.of(id))
                    .signed(isSigned)
                    .notRun(isNotRun)
                    .leaving(mReaction.name().startsWith("LEAVING"))
                    .rateLimit(mRateLimit)
                    .pause(mReaction == Reaction.PAUSE ? Optional.of(PAUSE_TIME) : Optional.empty())
                    .build();
        }

        private RattanportException cut() {
            mWhileWaiting.run();
            return failure(ErrorCode.CANCELLED);
        }

        private static RattanportException failure(ErrorCode code) {
            return RattanportException.builder(code, "scripted")
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }

        @Override
        public Optional<byte[]> awaitChunk(Deadline deadline) {
            mChunks++;
            if (mReaction == Reaction.ENDLESS && mChunks > 1) {
                mEndlessBytes += ENDLESS_CHUNK.length;
                assertThat(mEndlessBytes).isLessThan(MAX_ENDLESS_BYTES);
                return Optional.of(ENDLESS_CHUNK);
            }
            if (mReaction == Reaction.TRICKLE && mChunks > 1) {
                stall(deadline, TRICKLE_INTERVAL);
                return Optional.of(new byte[] {'x'});
            }
            if (mReaction == Reaction.FAIL_BROKEN_OFF) {
                throw failure(ErrorCode.TARGET_FAILED);
            }
            if (mReaction == Reaction.CUT_IN_STREAM && mChunks > 1) {
                throw cut();
            }
            if (mReaction == Reaction.LONG_BREAK_OFF && mChunks <= LONG_CHUNKS) {
                return Optional.of(ENDLESS_CHUNK);
            }
            boolean breaksOff =
                    mReaction == Reaction.BREAK_OFF
                            || mReaction == Reaction.LONG_BREAK_OFF
                            || mReaction == Reaction.LEAVING_BROKEN_STREAM;
            if (breaksOff && mChunks > 1) {
                throw failure(ErrorCode.TARGET_FAILED);
            }
            int chunkCount =
                    switch (mReaction) {
                        case STALL, STALL_AFTER_WRONG_ID -> 2;
                        case STREAM,
                                STALL_AFTER_HEAD,
                                LEAVING_BROKEN_STREAM,
                                CUT_IN_STREAM,
                                BREAK_OFF,
                                END_INSIDE_EVENT,
                                TRICKLE,
                                TEXT,
                                FAIL,
                                ENDLESS ->
                                1;
                        default -> 0;
                    };
            if (mChunks > chunkCount) {
                return Optional.empty();
            }
            if (mReaction == Reaction.TEXT || mReaction == Reaction.FAIL) {
                return Optional.of("error text".getBytes(StandardCharsets.UTF_8));
            }
            if (mChunks == 2 || mReaction == Reaction.STALL_AFTER_HEAD) {
                stall(deadline, STALL_DURATION);
            }
            int last = mAttempt.lastEventId().map(Integer::parseInt).orElse(0);
            boolean hasWrongId = mReaction == Reaction.STALL_AFTER_WRONG_ID && mChunks == 1;
            String event = "id: " + (hasWrongId ? 90 : last + mChunks) + "\ndata: x\n\n";
            if (mReaction == Reaction.END_INSIDE_EVENT) {
                event += "id: " + (last + 2) + "\nda";
            }
            return Optional.of(event.getBytes(StandardCharsets.UTF_8));
        }

        private void stall(Deadline deadline, Duration duration) {
            Duration remaining = deadline.remaining(mTime);
            mRemainingStall = mRemainingStall.isZero() ? duration : mRemainingStall;
            if (remaining.compareTo(mRemainingStall) < 0) {
                mTime.advance(remaining);
                mRemainingStall = mRemainingStall.minus(remaining);
                mChunks--;
                throw failure(ErrorCode.DEADLINE_EXCEEDED);
            }
            mTime.advance(mRemainingStall);
            mRemainingStall = Duration.ZERO;
        }

        @Override
        public void abort() {}

        @Override
        public void close() {}
    }
}
