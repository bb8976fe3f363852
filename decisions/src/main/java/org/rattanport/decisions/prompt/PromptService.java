package org.rattanport.decisions.prompt;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;
import org.rattanport.decisions.admission.Admission;
import org.rattanport.decisions.admission.AdmissionRequest;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.ordering.Dispatcher;
import org.rattanport.decisions.placement.Placement;
import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.decisions.retry.RetryBudget;
import org.rattanport.decisions.retry.RetryPolicy;
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.Streams;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.AnswerSink;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.request.ResumePoint;
import org.rattanport.kernel.target.Continuation;
import org.rattanport.kernel.target.EngineCall;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Serves prompts from admission to the last chunk of the answer, on the task of the caller's
 * connection: admits the prompt, waits for an engine, streams the answer, and retries on another
 * engine when the first one fails.
 */
public final class PromptService {
    private static final Logger LOGGER = Logger.getLogger(PromptService.class);
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEATH_CHECK_TIMEOUT = Duration.ofMillis(500);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Admission mAdmission;
    private final Dispatcher mDispatcher;
    private final SpanningPrompts mSpanning;
    private final EngineClient mEngines;
    private final EngineLoadTable mEngineLoads;
    private final TargetDirectory mDirectory;
    private final CostModel mCost;
    private final SuspicionTable mSuspicions;
    private final RetryPolicy mRetryPolicy;
    private final RetryBudget mRetryBudget;
    private final RequestJournal mJournal;
    private final InstanceId mSelf;
    private final TimeSource mTime;
    private final Set<String> mKeysInUse = ConcurrentHashMap.newKeySet();

    public PromptService(PromptDependencies dependencies) {
        mAdmission = dependencies.admission();
        mDispatcher = dependencies.dispatcher();
        mSpanning = dependencies.spanning();
        mEngines = dependencies.engines();
        mEngineLoads = dependencies.engineLoads();
        mDirectory = dependencies.directory();
        mCost = dependencies.cost();
        mSuspicions = dependencies.suspicions();
        mRetryPolicy = dependencies.retry();
        mRetryBudget = dependencies.budget();
        mJournal = dependencies.journal();
        mSelf = dependencies.self();
        mTime = dependencies.time();
    }

    /** Keys of the engine memory that running requests of this instance still use. */
    public Set<String> keysInUse() {
        return mKeysInUse;
    }

    /**
     * Serves a prompt; returns after the sink has accepted the whole answer.
     *
     * @throws RattanportException with the combined verdict of all attempts
     */
    public void serve(
            PromptRequest request,
            ActiveEnvironment environment,
            ClientAccount account,
            AnswerSink sink,
            Cancellation cancellation) {
        try {
            mAdmission.admit(new AdmissionRequest(request, environment, account));
        } catch (RattanportException e) {
            mJournal.record(
                    request.id(), "refused: " + e.code().wireName() + ", " + e.getMessage());
            throw e;
        }
        mJournal.record(
                request.id(),
                "admitted under document version "
                        + environment.version().version()
                        + ", length class "
                        + environment.document().lengthClass(request.promptTokens()).name());
        mRetryBudget.recordFirstAttempt(request.model());
        boolean isSuspect = mSuspicions.deathCount(request.fingerprint()) > 0;
        if (isSuspect && !mSuspicions.tryBeginIsolatedRun(request.fingerprint())) {
            throw RattanportException.builder(
                            ErrorCode.POISON_REQUEST,
                            "an engine died while it ran this prompt, and another copy of the"
                                    + " prompt is running; retry after it has ended")
                    .retryAfter(Duration.ofSeconds(5))
                    .build();
        }
        try {
            attemptWithRetries(request, environment, sink, cancellation);
            mSuspicions.clear(request.fingerprint());
        } finally {
            if (isSuspect) {
                mSuspicions.endIsolatedRun(request.fingerprint());
            }
        }
    }

    private void attemptWithRetries(
            PromptRequest request,
            ActiveEnvironment environment,
            AnswerSink sink,
            Cancellation cancellation) {
        Delivery delivery =
                new Delivery(sink, request.resume().map(ResumePoint::receivedTokens).orElse(0));
        if (request.resume().isPresent() && resumeStream(request, delivery, cancellation)) {
            return;
        }
        Set<TargetId> excluded = new HashSet<>();
        Verdict verdict = request.resume().isPresent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        int firstNumber = request.resume().map(point -> point.attempt() + 1).orElse(1);
        for (int attempts = 1; ; attempts++) {
            try {
                runAttempt(
                        request,
                        environment,
                        delivery,
                        firstNumber + attempts - 1,
                        excluded,
                        cancellation);
                mJournal.record(
                        request.id(), "completed after " + delivery.position() + " output tokens");
                return;
            } catch (RattanportException e) {
                verdict = verdict.combinedWith(e.verdict());
                mJournal.record(
                        request.id(),
                        "attempt failed: "
                                + e.code().wireName()
                                + ", "
                                + e.verdict().wireName()
                                + ", "
                                + e.getMessage());
                requireRetryAllowed(request, environment, e, verdict, attempts, cancellation);
            }
        }
    }

    private void requireRetryAllowed(
            PromptRequest request,
            ActiveEnvironment environment,
            RattanportException error,
            Verdict verdict,
            int attempts,
            Cancellation cancellation) {
        int deaths = mSuspicions.deathCount(request.fingerprint());
        if (deaths >= environment.document().limits().maximumTargetDeathsPerRequest()) {
            throw RattanportException.builder(
                            ErrorCode.POISON_REQUEST,
                            "this prompt was running on " + deaths + " engines when they died")
                    .verdict(verdict)
                    .cause(error)
                    .build();
        }
        if (cancellation.isCancelled()
                || !mRetryPolicy.shouldRetry(error, true, attempts, request.model())) {
            throw error.withVerdict(verdict);
        }
        if (request.deadline().hasPassed(mTime)) {
            throw RattanportException.builder(
                            ErrorCode.DEADLINE_EXCEEDED, "the deadline passed between attempts")
                    .verdict(verdict)
                    .cause(error)
                    .build();
        }
    }

    /**
     * Reattaches to the engine that still holds the answer's stream; returns false when the prompt
     * must run again.
     */
    private boolean resumeStream(
            PromptRequest request, Delivery delivery, Cancellation cancellation) {
        ResumePoint point = request.resume().orElseThrow();
        Target target = mDirectory.find(point.target()).orElse(null);
        if (target == null) {
            return false;
        }
        String key = request.id() + "/" + point.attempt();
        Continuation continuation = new Continuation(delivery.position(), "", true);
        Placement placement = new Placement(target, 0, false, 0);
        try {
            streamAnswer(
                    request,
                    new Attempt(
                            point.attempt(),
                            key,
                            placement,
                            continuation,
                            request.prompt(),
                            List.of()),
                    delivery,
                    cancellation);
            mJournal.record(request.id(), "resumed the stream of engine " + target.id());
            return true;
        } catch (RattanportException e) {
            mJournal.record(
                    request.id(),
                    "cannot resume the stream of engine " + target.id() + ": " + e.getMessage());
            return false;
        }
    }

    private void runAttempt(
            PromptRequest request,
            ActiveEnvironment environment,
            Delivery delivery,
            int number,
            Set<TargetId> excluded,
            Cancellation cancellation) {
        if (mSpanning.isNeeded(request)) {
            runSpanningAttempt(request, environment, delivery, number, cancellation);
            return;
        }
        String key = request.id() + "/" + number;
        boolean isSuspect = mSuspicions.deathCount(request.fingerprint()) > 0;
        Set<TargetId> avoided = new HashSet<>(excluded);
        if (isSuspect) {
            avoided.addAll(mSuspicions.targetsRunningSuspects());
        }
        Placement placement = mDispatcher.acquire(request, key, environment, avoided, cancellation);
        TargetId target = placement.target().id();
        mJournal.record(
                request.id(),
                "attempt "
                        + number
                        + " on engine "
                        + target
                        + (placement.isBorrowed() ? ", borrowed from another length class" : ""));
        if (isSuspect) {
            mSuspicions.recordSuspectStart(target);
        }
        try {
            streamAnswer(
                    request,
                    new Attempt(
                            number,
                            key,
                            placement,
                            delivery.continuation(),
                            request.prompt(),
                            List.of()),
                    delivery,
                    cancellation);
        } catch (RattanportException e) {
            excluded.add(target);
            throw e;
        } finally {
            if (isSuspect) {
                mSuspicions.recordSuspectEnd(target);
            }
            mDispatcher.release(placement, key);
        }
    }

    private void runSpanningAttempt(
            PromptRequest request,
            ActiveEnvironment environment,
            Delivery delivery,
            int number,
            Cancellation cancellation) {
        String key = request.id() + "/" + number;
        try (SpanningPrompts.Reservation reservation =
                mSpanning.prepare(request, environment, key, mKeysInUse, cancellation)) {
            mJournal.record(
                    request.id(), "attempt " + number + " on engines " + reservation.description());
            Placement placement = new Placement(reservation.decodeEngine(), 0, false, 0);
            streamAnswer(
                    request,
                    new Attempt(
                            number,
                            key,
                            placement,
                            delivery.continuation(),
                            reservation.lastSegment(),
                            reservation.prefilledSegments()),
                    delivery,
                    cancellation);
        }
    }

    private void streamAnswer(
            PromptRequest request, Attempt attempt, Delivery delivery, Cancellation cancellation) {
        Target target = attempt.placement().target();
        EngineCall call =
                new EngineCall(
                        request,
                        attempt.prompt(),
                        attempt.number(),
                        mSelf,
                        attempt.placement().enginePriority(),
                        attempt.continuation(),
                        attempt.prefilledSegments(),
                        request.deadline(),
                        cancellation);
        mKeysInUse.add(attempt.key());
        ChunkReceiver receiver = new ChunkReceiver(request, attempt, delivery);
        try {
            delivery.attemptStarted(target.id(), attempt.number());
            Streams.forEach(mEngines.generate(target, call), receiver::accept);
            requireComplete(delivery);
            mDirectory.health().recordSuccess(target.id());
            mCost.observeOutput(request.maximumOutputTokens(), delivery.position());
        } catch (RattanportException e) {
            recordFailure(request, target, attempt.key(), e);
            throw e;
        } finally {
            mKeysInUse.remove(attempt.key());
        }
    }

    private static void requireComplete(Delivery delivery) {
        if (!delivery.isComplete()) {
            throw RattanportException.builder(
                            ErrorCode.ANSWER_CUT,
                            "the engine's stream ended before the last chunk of the answer")
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }
    }

    private void recordFailure(
            PromptRequest request, Target target, String key, RattanportException error) {
        if (error.code() == ErrorCode.TARGET_LEAVING) {
            mDirectory.markDraining(target.id());
            return;
        }
        if (error.verdict() != Verdict.NOT_RUN) {
            Tasks.start("release-" + key, () -> release(target, key));
        }
        if (error.code() == ErrorCode.TARGET_FAILED || error.code() == ErrorCode.ANSWER_CUT) {
            mDirectory.health().recordFailure(target.id());
            if (error.verdict() != Verdict.NOT_RUN && hasDied(target)) {
                mJournal.record(request.id(), "engine " + target.id() + " died during the attempt");
                mSuspicions.recordDeath(request.fingerprint(), target.id());
            }
        }
    }

    /**
     * Whether the engine is unreachable or runs as a newer incarnation. A broken connection alone
     * does not prove that the engine died.
     */
    private boolean hasDied(Target target) {
        try {
            TargetLoad load =
                    mEngines.loadReport(target, Deadline.after(mTime, DEATH_CHECK_TIMEOUT));
            return !load.target().equals(target.id());
        } catch (RattanportException e) {
            return true;
        }
    }

    /** Frees the attempt's engine memory; the reclaimer frees it later when the call fails. */
    private void release(Target target, String key) {
        try {
            mEngines.release(target, key, Deadline.after(mTime, RELEASE_TIMEOUT));
        } catch (RattanportException e) {
            LOGGER.debugf("cannot release %s at engine %s: %s", key, target.id(), e.getMessage());
        }
    }

    /** Delivers chunks and reports the first one to the load estimates and the cost model. */
    private final class ChunkReceiver {
        private final PromptRequest mRequest;
        private final Attempt mAttempt;
        private final Delivery mDelivery;
        private final long mSentNanos = mTime.nanoTime();
        private boolean mHasFirstChunk;

        private ChunkReceiver(PromptRequest request, Attempt attempt, Delivery delivery) {
            mRequest = request;
            mAttempt = attempt;
            mDelivery = delivery;
        }

        private void accept(AnswerChunk chunk) {
            if (!mHasFirstChunk) {
                mHasFirstChunk = true;
                recordFirstToken();
            }
            chunk.load().ifPresent(mEngineLoads::update);
            mDelivery.accept(chunk);
        }

        private void recordFirstToken() {
            Placement placement = mAttempt.placement();
            double seconds = (mTime.nanoTime() - mSentNanos) / NANOS_PER_SECOND;
            mEngineLoads
                    .find(placement.target().id())
                    .ifPresent(load -> load.recordFirstToken(mAttempt.key()));
            mCost.observeFirstToken(
                    placement.target().id(), placement.predictedFirstTokenSeconds(), seconds);
            mJournal.record(mRequest.id(), String.format("first token after %.3f s", seconds));
        }
    }
}
