package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.RequestContent;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.time.Deadline;

/** Forwards one request: tries back ends until one responds or no further attempt is allowed. */
final class Forwarding {
    private static final Logger LOGGER = Logger.getLogger(Forwarding.class);

    /**
     * Back ends that are tried before the request fails, including refusals and failed connections.
     */
    private static final int MAX_PLACEMENTS = 5;

    /** Connect timeout: several round trips, and less than the retransmission of a lost packet. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Time below which no back end can respond. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

    private final GatewayComponents mComponents;
    private final CallerRequest mRequest;
    private final CallerExchange mCaller;
    private final Route mRoute;
    private final BackEndService mService;
    private final Optional<GatewayAccount> mAccount;
    private final Deadline mDeadline;
    private ResponseRelay mRelay;
    private final Set<String> mExcluded = new HashSet<>();
    private final RequestTrace mTrace;
    private final RequestContent mContent;
    private Optional<String> mLastBackEndId = Optional.empty();
    private Optional<MemoryLeases.Lease> mLease = Optional.empty();
    private int mRuns;
    private boolean mIsTruncated;
    private boolean mHasReachedBackEnd;

    /** How long the back end of the current attempt may be silent after its head. */
    private SilenceTimeout mFirstEventTimeout;

    /** Whether the back end of the current attempt has sent an event. */
    private boolean mHasBegun;

    private Verdict mVerdict = Verdict.NOT_RUN;
    private RattanportException mLastError =
            new RattanportException(ErrorCode.NO_TARGET, "no back end takes requests");

    Forwarding(
            GatewayComponents components,
            CallerRequest request,
            CallerExchange caller,
            Route route,
            BackEndService service,
            Optional<GatewayAccount> account,
            Deadline deadline) {
        mComponents = components;
        mRequest = request;
        mCaller = caller;
        mRoute = route;
        mService = service;
        mAccount = account;
        mDeadline = deadline;
        mContent = request.content(account.map(GatewayAccount::name).orElse(""));
        RequestTrace.RequestInfo info =
                new RequestTrace.RequestInfo(
                        request.attemptId(),
                        route,
                        service.name(),
                        account.map(GatewayAccount::name).orElse("-"),
                        request.sharedParts(),
                        components.routing().version());
        mTrace = new RequestTrace(info, components.events(), components.time());
        mFirstEventTimeout = SilenceTimeout.routeTimeout(route);
        mRelay = createRelay();
    }

    private ResponseRelay createRelay() {
        if (mRoute.kind() != RouteKind.STREAMING) {
            return new BufferedResponseRelay(mCaller, mTrace::partForwarded);
        }
        return new EventRelay(
                mCaller,
                mComponents.time(),
                mRequest.lastEventId(),
                this::timeoutBeforeNextEvent,
                this::remainingPrefill,
                this::onForwarded);
    }

    private void onForwarded() {
        mTrace.partForwarded();
        if (!mHasBegun) {
            mHasBegun = true;
            mComponents.outcomes().recordFirstEvent(mContent);
        }
        mLease.ifPresent(MemoryLeases.Lease::recordSignOfLife);
        mComponents.workNotifier().decodeStarted(mRequest.attemptId());
    }

    /** Forwards the request; throws when nothing was sent to the caller. */
    void run() {
        String outcome = RequestOutcome.ANSWERED;
        try {
            tryBackEnds();
            outcome = mIsTruncated ? RequestOutcome.TRUNCATED : outcome;
        } catch (RattanportException e) {
            outcome = e.code().wireName();
            throw e;
        } finally {
            boolean isAnswered = outcome.equals(RequestOutcome.ANSWERED);
            String reason = isAnswered ? "" : String.valueOf(mLastError.getMessage());
            mTrace.ended(outcome, mVerdict, mRuns, reason);
        }
    }

    private void tryBackEnds() {
        for (int placements = 0; placements < MAX_PLACEMENTS; placements++) {
            requireWanted();
            if (!hasTimeForAttempt()) {
                mLastError = ForwardingErrors.deadlineExceeded();
                break;
            }
            Optional<Fingerprint> blocked = mComponents.outcomes().blockedContent(mContent);
            if (blocked.isPresent()) {
                mLastError = ForwardingErrors.poisonRequest(mRequest, mContent, blocked.get());
                break;
            }
            if (mHasReachedBackEnd && !mComponents.retryBudget().tryAcquire(mService.name())) {
                break;
            }
            Optional<Placement> placement = place();
            if (placement.isEmpty()) {
                mComponents
                        .registry()
                        .shortestPause(mService.name())
                        .ifPresent(pause -> mLastError = ForwardingErrors.allPause(pause));
                break;
            }
            if (attempt(placement.get())) {
                return;
            }
            if (mRelay.continuation().isEmpty()) {
                break;
            }
            if (mVerdict != Verdict.NOT_RUN
                    && (!mRoute.isRetryable() || mRuns >= mRoute.maxAttempts())) {
                break;
            }
        }
        endWithoutResponse();
    }

    private boolean hasTimeForAttempt() {
        return mDeadline.remaining(mComponents.time()).compareTo(MIN_ATTEMPT_TIME) >= 0;
    }

    private Optional<Placement> place() {
        BackEndPlacement policy =
                mService.engineSpec().isPresent()
                        ? mComponents.promptPlacement()
                        : mComponents.servicePlacement();
        Set<String> excluded = new HashSet<>(mExcluded);
        excluded.addAll(mComponents.registry().refusing(mService.name()));
        PlacementDemand demand =
                new PlacementDemand(
                        mRequest.attemptId(),
                        mService.name(),
                        EngineGroup.ALL,
                        mRequest.promptSize(),
                        mRoute.latencyObjective(),
                        mRoute.maxEventGap(),
                        Set.copyOf(excluded));
        return policy.place(new PlacementQuery(mService, demand));
    }

    /** Sends the request to one back end; returns whether the request has ended for the caller. */
    private boolean attempt(Placement placement) {
        BackEnd backEnd = placement.backEnd();
        int runsBefore = mRuns;
        mExcluded.add(backEnd.id());
        mLastBackEndId = Optional.of(backEnd.id());
        mHasReachedBackEnd = false;
        mHasBegun = false;
        mComponents.loadTable().requestSent(backEnd.id());
        try (UncheckedCloseable leases = acquireLeases(placement);
                BackEndExchange exchange = send(placement)) {
            AutoCloseable disconnectHook = mCaller.disconnectSignal().onCancel(exchange::abort);
            AutoCloseable cutHook = mCaller.cutSignal().onCancel(exchange::abort);
            try {
                return handleResponse(placement, exchange);
            } finally {
                closeQuietly(disconnectHook);
                closeQuietly(cutHook);
            }
        } catch (RattanportException e) {
            return handleFailure(backEnd, e, runsBefore);
        } finally {
            mComponents.loadTable().requestEnded(backEnd.id());
            placement.work().ifPresent(work -> mComponents.workNotifier().ended(work.attemptId()));
        }
    }

    /** A resource whose close method throws no checked exception. */
    private interface UncheckedCloseable extends AutoCloseable {
        @Override
        void close();
    }

    private UncheckedCloseable acquireLeases(Placement placement) {
        if (placement.reservations().isEmpty()) {
            return () -> {};
        }
        MemoryLeases.Lease lease =
                mComponents
                        .leases()
                        .acquire(placement.reservations(), placement.backEnd(), this::exclude);
        mLease = Optional.of(lease);
        return () -> {
            mLease = Optional.empty();
            lease.close();
        };
    }

    private void exclude(BackEnd engine) {
        mExcluded.add(engine.id());
    }

    /** Sends the request, unless the caller left or the time ran out during the preparations. */
    private BackEndExchange send(Placement placement) {
        requireWorthSending();
        Attempt attempt =
                new Attempt(
                        mRequest,
                        placement.backEnd(),
                        mDeadline.remaining(mComponents.time()),
                        mAccount.map(GatewayAccount::name),
                        Urgency.of(mRoute.latencyObjective()),
                        placement.prefillEngines().stream()
                                .map(
                                        each ->
                                                new Attempt.PrefillEngine(
                                                        each.address(), placement.leaseId(each)))
                                .toList(),
                        mRelay.lastEventId());
        return mComponents
                .client()
                .send(
                        attempt,
                        mDeadline.within(mComponents.time(), CONNECT_TIMEOUT),
                        () -> {
                            requireWorthSending();
                            requireAccepting(placement.backEnd());
                            mTrace.attemptSent(placement);
                        });
    }

    private void requireWorthSending() {
        requireWanted();
        if (!hasTimeForAttempt()) {
            throw ForwardingErrors.deadlineExceeded();
        }
    }

    /** Throws if the caller left or this instance stops. */
    private void requireWanted() {
        if (mCaller.disconnectSignal().isCancelled()) {
            throw ForwardingErrors.callerDisconnected();
        }
        if (mCaller.cutSignal().isCancelled()) {
            throw ForwardingErrors.stopping(mVerdict);
        }
    }

    /** The back end may have asked for a pause, or begun to leave, since it was chosen. */
    private void requireAccepting(BackEnd backEnd) {
        if (!mComponents.notices().tryUse(backEnd)) {
            throw ForwardingErrors.wantsNoRequests();
        }
    }

    private boolean handleResponse(Placement placement, BackEndExchange exchange) {
        BackEnd backEnd = placement.backEnd();
        SilenceTimeout timeout = timeoutBeforeFirstEvent(placement);
        long startNanos = mComponents.time().nanoTime();
        ResponseHead head =
                timeout.await(
                        mComponents.time(), mDeadline, this::remainingPrefill, exchange::awaitHead);
        mFirstEventTimeout =
                timeout.afterHead(Duration.ofNanos(mComponents.time().nanoTime() - startNanos));
        mTrace.responseReceived(head.status());
        mHasReachedBackEnd = true;
        mComponents.notices().recordResponse(backEnd, head);
        head.load().ifPresent(load -> mComponents.loadTable().recordReport(backEnd.id(), load));
        if (head.isNotRun() && !isForeign(head)) {
            recordRefusal(placement, head);
            mLastError = ForwardingErrors.allRefused();
            return false;
        }
        mRuns++;
        mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        requireMatchingResponse(head);
        requireTruthfulStatus(head);
        if (shouldRetry(head)) {
            throw ForwardingErrors.failedRun("the back end responded with status " + head.status());
        }
        relay(head, exchange);
        mComponents.outcomes().recordSuccess(backEnd, mContent);
        return true;
    }

    /**
     * An error that breaks off before it reaches the caller leaves the relay of the route as it is.
     */
    private void relay(ResponseHead head, BackEndExchange exchange) {
        ResponseRelay relay =
                head.isSuccess()
                        ? mRelay
                        : new BufferedResponseRelay(mCaller, mTrace::partForwarded);
        try {
            relay.relay(head, exchange, mDeadline);
        } finally {
            mRelay = relay.hasStarted() ? relay : mRelay;
        }
    }

    /** Once no retry is allowed, only the route limits the silence of the last engine. */
    private SilenceTimeout timeoutBeforeNextEvent() {
        if (!mRelay.hasStarted()) {
            return mFirstEventTimeout;
        }
        boolean mayRetry = mRoute.isRetryable() && mRuns < mRoute.maxAttempts();
        return mayRetry
                ? SilenceTimeout.betweenEvents(mRoute)
                : SilenceTimeout.routeTimeout(mRoute);
    }

    /** The wait for a first event ends early only while a retry is allowed. */
    private SilenceTimeout timeoutBeforeFirstEvent(Placement placement) {
        boolean mayRetry = mRoute.isRetryable() && mRuns + 1 < mRoute.maxAttempts();
        if (!mayRetry || mRelay.hasStarted()) {
            return SilenceTimeout.routeTimeout(mRoute);
        }
        double predicted = placement.work().map(EngineWork::predictedFirstEventMillis).orElse(0.0);
        return SilenceTimeout.beforeFirstEvent(mRoute, predicted);
    }

    /** Predicted time until the last chosen back end finishes its prefill work. */
    private Duration remainingPrefill() {
        return mLastBackEndId
                .map(id -> mComponents.workNotifier().remainingPrefill(mRequest.attemptId(), id))
                .orElse(Duration.ZERO);
    }

    /**
     * Records a refusal by the chosen back end or, if the response names one, by a prefill engine.
     */
    private void recordRefusal(Placement placement, ResponseHead head) {
        BackEnd faultyEngine =
                head.faultyEngineAddress()
                        .flatMap(placement::findByAddress)
                        .orElse(placement.backEnd());
        mExcluded.remove(placement.backEnd().id());
        mExcluded.add(faultyEngine.id());
        if (head.isMisdirected()) {
            mComponents.registry().removeReplaced(faultyEngine);
        }
        if (head.pause().isPresent()) {
            // A back end that asks for a pause is sound, so its health stays as it is.
            return;
        }
        double weight =
                mComponents
                        .outcomes()
                        .recordRefusal(faultyEngine, head.faultyEngineAddress().isPresent());
        mComponents.workNotifier().engineFailed(mRequest.attemptId(), faultyEngine.id(), weight);
    }

    /** Rejects a response to another attempt, and a successful response without a signature. */
    private void requireMatchingResponse(ResponseHead head) {
        if (isForeign(head) || (head.isSuccess() && !head.isSigned())) {
            throw ForwardingErrors.failedRun(
                    "the response has no signature or belongs to another attempt");
        }
    }

    /** A refusal of a run that may not be repeated would tell the caller that nothing has run. */
    private void requireTruthfulStatus(ResponseHead head) {
        if (!mRoute.isRetryable() && ResponseHead.impliesNotRun(head.status())) {
            throw ForwardingErrors.failedRun(
                    "the back end refused with status "
                            + head.status()
                            + " without a promise that it has not run the request");
        }
    }

    private boolean isForeign(ResponseHead head) {
        return head.attemptId().filter(id -> !id.equals(mRequest.attemptId())).isPresent();
    }

    private boolean shouldRetry(ResponseHead head) {
        if (mRelay.hasStarted()) {
            return !head.isSuccess();
        }
        return head.status() >= 500 && mRoute.isRetryable() && mRuns < mRoute.maxAttempts();
    }

    private boolean handleFailure(BackEnd backEnd, RattanportException error, int runsBefore) {
        if (error.code() == ErrorCode.CANCELLED && mCaller.disconnectSignal().isCancelled()) {
            throw ForwardingErrors.callerDisconnected();
        }
        if (mCaller.cutSignal().isCancelled()) {
            mVerdict = mVerdict.combinedWith(error.verdict());
            mLastError = ForwardingErrors.stopping(mVerdict);
            traceFailure(backEnd, mLastError);
            endWithoutResponse();
            return true;
        }
        if (error.code() == ErrorCode.CANCELLED) {
            throw ForwardingErrors.callerDisconnected();
        }
        if (error.code() == ErrorCode.DEADLINE_EXCEEDED && !hasTimeForAttempt()) {
            mVerdict = mVerdict.combinedWith(error.verdict());
            mLastError = error;
            traceFailure(backEnd, error);
            endWithoutResponse();
            return true;
        }
        traceFailure(backEnd, error);
        mLastError = error;
        if (error.code() == ErrorCode.TARGET_REFUSED) {
            // A prefill engine granted no memory lease; the decode engine is not at fault.
            mExcluded.remove(backEnd.id());
            return false;
        }
        mComponents.notices().recordFailure(backEnd.id());
        double weight = mComponents.outcomes().recordFailure(backEnd, mContent, mHasBegun, error);
        mComponents.workNotifier().engineFailed(mRequest.attemptId(), backEnd.id(), weight);
        boolean hadConnection = error.verdict() != Verdict.NOT_RUN;
        mHasReachedBackEnd |= hadConnection;
        if (hadConnection && mRuns == runsBefore) {
            mRuns++;
        }
        mVerdict = mVerdict.combinedWith(error.verdict());
        return false;
    }

    private void traceFailure(BackEnd backEnd, RattanportException error) {
        mTrace.attemptFailed(
                backEnd,
                error.code().wireName(),
                error.verdict(),
                mRelay.hasStarted(),
                String.valueOf(error.getMessage()));
    }

    /**
     * Ends the request: truncates a response that has started, and throws the last error otherwise.
     */
    private void endWithoutResponse() {
        if (mRelay.hasStarted()) {
            mIsTruncated = true;
            mRelay.abort();
            return;
        }
        throw mVerdict == Verdict.NOT_RUN ? mLastError : mLastError.withVerdict(mVerdict);
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            LOGGER.warnf(e, "cannot remove the cancellation action of a request");
        }
    }
}
