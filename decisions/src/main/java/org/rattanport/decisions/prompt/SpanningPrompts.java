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
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.PrefilledSegment;
import org.rattanport.kernel.target.SegmentPrefill;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Prepares prompts that do not fit into the memory of one engine.
 *
 * <p>A prompt is split into segments, each prefilled by a different engine. The engine of the last
 * segment decodes the answer and fetches the earlier segments from the other engines. Memory is
 * reserved on all engines, in the order of their names, before any segment is prefilled. When one
 * engine refuses, all reservations are released, so no prompt waits while it holds memory that
 * another prompt waits for. Only a part of a pool runs spanning prompts, which limits how many run
 * at once.
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
    private final EngineLoadTable mEngineLoads;
    private final EngineClient mEngines;
    private final InstanceId mSelf;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;

    public SpanningPrompts(
            Dispatcher.EngineSource engineSource,
            EngineLoadTable engineLoads,
            EngineClient engines,
            InstanceId self,
            TimeSource time,
            RandomGenerator random) {
        mEngineSource = engineSource;
        mEngineLoads = engineLoads;
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
     * Reserves memory on all engines and prefills every segment except the last.
     *
     * @throws RattanportException {@code PROMPT_TOO_LONG} when the pool has too few engines for the
     *     prompt, {@code DEADLINE_EXCEEDED} or {@code CANCELLED}
     */
    public Reservation prepare(
            PromptRequest request,
            ActiveEnvironment environment,
            String key,
            Set<String> keysInUse,
            Cancellation cancellation) {
        while (true) {
            List<Candidate> all = candidates(request.model());
            List<Segment> segments = split(request, all);
            List<Candidate> engines = spanningEngines(request.model(), all, segments.size());
            Reservation reservation = new Reservation(keysInUse);
            try {
                if (reserveAll(reservation, request, key, segments, engines)) {
                    prefillAllButLast(reservation, request);
                    return reservation;
                }
                reservation.close();
            } catch (RattanportException e) {
                reservation.close();
                throw e;
            }
            waitBeforeRetry(request, cancellation);
        }
    }

    private void waitBeforeRetry(PromptRequest request, Cancellation cancellation) {
        if (cancellation.isCancelled()) {
            throw new RattanportException(ErrorCode.CANCELLED, "the caller disconnected");
        }
        Duration delay = MIN_RETRY_DELAY.plusMillis(mRandom.nextLong(MAX_RETRY_JITTER.toMillis()));
        if (request.deadline().remaining(mTime).compareTo(delay) <= 0) {
            throw new RattanportException(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "too few engines had free memory for the prompt before its deadline");
        }
        mTime.sleep(delay);
    }

    private List<Candidate> candidates(String model) {
        return mEngineLoads.candidates(mEngineSource.engines(model));
    }

    /** The part of the pool that runs spanning prompts; all instances select the same engines. */
    private static List<Candidate> spanningEngines(
            String model, List<Candidate> all, int segments) {
        int share = (int) Math.ceil(all.size() * SPANNING_ENGINES_SHARE);
        // A small pool must still run one spanning prompt at a time, even if it needs more engines.
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
                                    + " engines; the pool has "
                                    + engines.size()
                                    + " with a load report")
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
            Reservation reservation,
            PromptRequest request,
            String key,
            List<Segment> segments,
            List<Candidate> engines) {
        List<Target> targets =
                engines.stream()
                        .sorted(Comparator.comparingLong(each -> -each.load().freeMemoryTokens()))
                        .limit(segments.size())
                        .map(Candidate::target)
                        .sorted(Comparator.comparing(each -> each.id().name()))
                        .toList();
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            boolean isLast = i == segments.size() - 1;
            SegmentPrefill call =
                    new SegmentPrefill(
                            isLast ? key : key + "/" + i,
                            segment.text(),
                            segment.tokens(),
                            mSelf,
                            List.of(),
                            request.deadline());
            reservation.add(targets.get(i), call);
            if (!mEngines.reserve(targets.get(i), call)) {
                LOGGER.debugf(
                        "reservation %s was refused by engine %s", call.key(), targets.get(i).id());
                return false;
            }
        }
        return true;
    }

    private void prefillAllButLast(Reservation reservation, PromptRequest request) {
        List<Reservation.ReservedSegment> segments = reservation.mSegments;
        for (Reservation.ReservedSegment segment : segments.subList(0, segments.size() - 1)) {
            if (request.deadline().hasPassed(mTime)) {
                throw new RattanportException(
                        ErrorCode.DEADLINE_EXCEEDED, "the deadline passed during prefill");
            }
            SegmentPrefill call = segment.call();
            SegmentPrefill withEarlier =
                    new SegmentPrefill(
                            call.key(),
                            call.text(),
                            call.tokens(),
                            call.owner(),
                            List.copyOf(reservation.mPrefilledSegments),
                            call.deadline());
            reservation.mPrefilledSegments.add(
                    mEngines.prefillSegment(segment.engine(), withEarlier));
        }
    }

    private record Segment(String text, int tokens) {}

    /** Memory that one prompt has reserved on several engines; closing releases all of it. */
    public final class Reservation implements AutoCloseable {
        private final Set<String> mKeysInUse;
        private final List<ReservedSegment> mSegments = new ArrayList<>();
        private final List<PrefilledSegment> mPrefilledSegments = new ArrayList<>();

        private record ReservedSegment(Target engine, SegmentPrefill call) {}

        private Reservation(Set<String> keysInUse) {
            mKeysInUse = keysInUse;
        }

        private void add(Target engine, SegmentPrefill call) {
            mKeysInUse.add(call.key());
            mSegments.add(new ReservedSegment(engine, call));
        }

        /** The engine of the last segment, which decodes the answer. */
        public Target decodeEngine() {
            return mSegments.getLast().engine();
        }

        /** Text of the last segment. */
        public String lastSegment() {
            return mSegments.getLast().call().text();
        }

        /** The segments before the last, which are prefilled. */
        public List<PrefilledSegment> prefilledSegments() {
            return List.copyOf(mPrefilledSegments);
        }

        /** Names of the engines for the request journal. */
        public String description() {
            return mSegments.stream()
                    .map(segment -> segment.engine().id().name())
                    .collect(Collectors.joining(", "));
        }

        @Override
        public void close() {
            mSegments.forEach(
                    segment -> {
                        mKeysInUse.remove(segment.call().key());
                        Tasks.start("release-" + segment.call().key(), () -> release(segment));
                    });
        }

        private void release(ReservedSegment segment) {
            try {
                mEngines.release(
                        segment.engine(),
                        segment.call().key(),
                        Deadline.after(mTime, RELEASE_TIMEOUT));
            } catch (RattanportException e) {
                // The reclaimer frees the memory later, since its key is no longer in use.
                LOGGER.debugf(
                        "cannot release segment %s: %s", segment.call().key(), e.getMessage());
            }
        }
    }
}
