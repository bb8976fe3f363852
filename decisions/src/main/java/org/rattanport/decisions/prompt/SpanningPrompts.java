package org.rattanport.decisions.prompt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.decisions.ordering.Dispatcher;
import org.rattanport.decisions.target.EngineBoard;
import org.rattanport.decisions.target.EngineBoard.Candidate;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.SegmentCall;
import org.rattanport.kernel.target.SegmentPiece;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Prepares prompts that are longer than one engine's memory.
 *
 * <p>The prompt is cut into segments, each held by another engine; the last segment's engine
 * generates the answer and reads the earlier pieces from their holders. Memory is reserved on all
 * engines before anything is computed, in the order of engine names. When one reservation is
 * refused all are given back, so no prompt waits while it holds memory that another waits for. Only
 * part of a pool takes such prompts, which bounds how many run at once.
 */
public final class SpanningPrompts {
    private static final Logger LOGGER = Logger.getLogger(SpanningPrompts.class);
    private static final double MAX_SINGLE_ENGINE_SHARE = 0.95;
    private static final double SEGMENT_MEMORY_SHARE = 0.6;
    private static final double SPANNING_ENGINES_SHARE = 0.5;
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_JITTER = Duration.ofMillis(1000);
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(2);

    private final Dispatcher.EngineSource mEngineSource;
    private final EngineBoard mEngineLoads;
    private final EngineClient mEngines;
    private final InstanceId mSelf;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;

    public SpanningPrompts(
            Dispatcher.EngineSource engineSource,
            EngineBoard board,
            EngineClient engines,
            InstanceId self,
            TimeSource time,
            RandomGenerator random) {
        mEngineSource = engineSource;
        mEngineLoads = board;
        mEngines = engines;
        mSelf = self;
        mTime = time;
        mRandom = random;
    }

    /** Whether the prompt is too long for every engine of its model. */
    public boolean isNeeded(PromptRequest request) {
        long largest =
                candidates(request.model()).stream()
                        .mapToLong(each -> each.load().report().totalMemoryTokens())
                        .max()
                        .orElse(Long.MAX_VALUE);
        return request.totalTokens() > largest * MAX_SINGLE_ENGINE_SHARE;
    }

    /**
     * Reserves memory and computes all segments but the last.
     *
     * @throws RattanportException {@code PROMPT_TOO_LONG} when the pool cannot hold the prompt, or
     *     {@code DEADLINE_EXCEEDED}
     */
    public Reservation prepare(
            PromptRequest request,
            ActiveEnvironment environment,
            String key,
            Set<String> liveKeys,
            Cancellation cancellation) {
        while (true) {
            List<Candidate> all = candidates(request.model());
            List<Segment> segments = split(request, all);
            List<Candidate> engines = spanningEngines(request.model(), all, segments.size());
            Reservation span = new Reservation(liveKeys);
            try {
                if (reserveAll(span, request, key, segments, engines)) {
                    computeAll(span, request);
                    return span;
                }
                span.close();
            } catch (RattanportException e) {
                span.close();
                throw e;
            }
            waitBeforeRetry(request, cancellation);
        }
    }

    private void waitBeforeRetry(PromptRequest request, Cancellation cancellation) {
        if (cancellation.isCancelled()) {
            throw new RattanportException(ErrorCode.CANCELLED, "the caller has gone");
        }
        Duration pause = MIN_RETRY_DELAY.plusMillis(mRandom.nextLong(MAX_RETRY_JITTER.toMillis()));
        if (request.deadline().remaining(mTime).compareTo(pause) <= 0) {
            throw new RattanportException(
                    ErrorCode.DEADLINE_EXCEEDED, "no engines had room for the prompt in time");
        }
        mTime.sleep(pause);
    }

    private List<Candidate> candidates(String model) {
        return mEngineLoads.candidates(mEngineSource.engines(model));
    }

    /** The part of the pool that takes spanning prompts, the same at every instance. */
    private static List<Candidate> spanningEngines(
            String model, List<Candidate> all, int segments) {
        int share = (int) Math.ceil(all.size() * SPANNING_ENGINES_SHARE);
        // A small pool still takes one such prompt at a time.
        int count = Math.max(share, segments);
        return RendezvousHash.order("spanning/" + model, all, each -> each.target().id().name())
                .subList(0, count);
    }

    private static List<Segment> split(PromptRequest request, List<Candidate> engines) {
        long memory =
                engines.stream()
                        .mapToLong(each -> each.load().report().totalMemoryTokens())
                        .min()
                        .orElse(0);
        long perEngine = (long) (memory * SEGMENT_MEMORY_SHARE);
        int count =
                perEngine <= 0
                        ? Integer.MAX_VALUE
                        : (int) Math.ceilDiv(request.totalTokens(), perEngine);
        if (count > engines.size()) {
            throw RattanportException.builder(
                            ErrorCode.PROMPT_TOO_LONG,
                            "the prompt needs the memory of "
                                    + count
                                    + " engines; "
                                    + engines.size()
                                    + " can be joined for it")
                    .field("messages")
                    .build();
        }
        List<Segment> segments = new ArrayList<>();
        int length = request.prompt().length();
        for (int i = 0; i < count; i++) {
            int from = (int) ((long) length * i / count);
            int to = (int) ((long) length * (i + 1) / count);
            int tokens = request.promptTokens() / count;
            int outputTokens = i == count - 1 ? request.maximumOutputTokens() : 0;
            segments.add(new Segment(request.prompt().substring(from, to), tokens + outputTokens));
        }
        return segments;
    }

    private boolean reserveAll(
            Reservation span,
            PromptRequest request,
            String key,
            List<Segment> segments,
            List<Candidate> engines) {
        List<Target> holders =
                engines.stream()
                        .sorted(Comparator.comparingLong(each -> -each.load().freeMemoryTokens()))
                        .limit(segments.size())
                        .map(Candidate::target)
                        .sorted(Comparator.comparing(each -> each.id().name()))
                        .toList();
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            boolean isLast = i == segments.size() - 1;
            SegmentCall call =
                    new SegmentCall(
                            isLast ? key : key + "/" + i,
                            segment.text(),
                            segment.tokens(),
                            mSelf,
                            List.of(),
                            request.deadline());
            span.add(holders.get(i), call);
            if (!mEngines.reserve(holders.get(i), call)) {
                LOGGER.debugf("no room for %s at %s", call.key(), holders.get(i).id());
                return false;
            }
        }
        return true;
    }

    private void computeAll(Reservation span, PromptRequest request) {
        List<Reservation.ReservedSegment> parts = span.mSegments;
        for (Reservation.ReservedSegment part : parts.subList(0, parts.size() - 1)) {
            if (request.deadline().hasPassed(mTime)) {
                throw new RattanportException(
                        ErrorCode.DEADLINE_EXCEEDED, "the time ran out in prefill");
            }
            SegmentCall call = part.call();
            SegmentCall withEarlier =
                    new SegmentCall(
                            call.key(),
                            call.text(),
                            call.tokens(),
                            call.owner(),
                            List.copyOf(span.mPieces),
                            call.deadline());
            span.mPieces.add(mEngines.computeSegment(part.engine(), withEarlier));
        }
    }

    private record Segment(String text, int tokens) {}

    /** Memory of several engines that one prompt holds; closing gives all of it back. */
    public final class Reservation implements AutoCloseable {
        private final Set<String> mLiveKeys;
        private final List<ReservedSegment> mSegments = new ArrayList<>();
        private final List<SegmentPiece> mPieces = new ArrayList<>();

        private record ReservedSegment(Target engine, SegmentCall call) {}

        private Reservation(Set<String> liveKeys) {
            mLiveKeys = liveKeys;
        }

        private void add(Target holder, SegmentCall call) {
            mLiveKeys.add(call.key());
            mSegments.add(new ReservedSegment(holder, call));
        }

        /** Engine that holds the last segment and generates the answer. */
        public Target decodeEngine() {
            return mSegments.getLast().engine();
        }

        /** Text of the last segment. */
        public String lastSegment() {
            return mSegments.getLast().call().text();
        }

        /** Pieces of the segments before the last. */
        public List<SegmentPiece> pieces() {
            return List.copyOf(mPieces);
        }

        /** Names of the engines, for the journal. */
        public String description() {
            return mSegments.stream()
                    .map(part -> part.engine().id().name())
                    .collect(Collectors.joining(", "));
        }

        @Override
        public void close() {
            mSegments.forEach(
                    part -> {
                        mLiveKeys.remove(part.call().key());
                        Tasks.start("release-" + part.call().key(), () -> release(part));
                    });
        }

        private void release(ReservedSegment part) {
            try {
                mEngines.release(
                        part.engine(), part.call().key(), Deadline.after(mTime, RELEASE_TIMEOUT));
            } catch (RattanportException e) {
                // The reclaimer finds the piece, since its key is no longer live.
                LOGGER.debugf("cannot release %s: %s", part.call().key(), e.getMessage());
            }
        }
    }
}
