package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.limits.ClockReading;
import org.rattanport.decisions.gateway.placement.MemoryLeases;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.decisions.gateway.relay.BufferedResponseRelay;
import org.rattanport.decisions.gateway.relay.EventRelay;
import org.rattanport.decisions.gateway.relay.ResponseRelay;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.GatewayAccount;
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
    private final SilencePolicy mSilence;
    private ResponseRelay mRelay;
    private final BackEndSelection mSelection;
    private final RequestTrace mTrace;
    private final RequestContent mContent;
    private final long mStartNanos;
    private Optional<String> mLastBackEndId = Optional.empty();
    private Optional<MemoryLeases.Lease> mLease = Optional.empty();
    private int mRuns;
    private boolean mIsTruncated;
    private boolean mHasReachedBackEnd;

    /** Whether the back end of the current attempt has sent an event. */
    private boolean mHasBegun;

    /** When the request of the current attempt was written. */
    private ClockReading mWritten;

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
        mStartNanos = components.time().nanoTime();
        mContent = request.content(account.map(GatewayAccount::name).orElse(""));
        RequestTrace.RequestInfo info =
                new RequestTrace.RequestInfo(
                        request.attemptId(),
                        route,
                        service.name(),
                        account.map(GatewayAccount::name).orElse("-"),
                        request.sharedParts(),
                        components.routing().version());
        RegionRule regions = RegionRule.of(route, account, components.regions());
        mSelection = new BackEndSelection(components, request, route, service, regions);
        mTrace = new RequestTrace(info, components.events(), components.time());
        mSilence = new SilencePolicy(components, request, route, service, mSelection);
        mWritten = ClockReading.now(components.time());
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
                () -> mSilence.beforeNextEvent(mRuns, mRelay),
                mSilence,
                () -> mSilence.remainingPrefill(mLastBackEndId),
                this::onArrived,
                this::onForwarded);
    }

    private void onArrived(int events, long waitStartNanos) {
        mComponents.workNotifier().eventsArrived(mRequest.attemptId(), events, waitStartNanos);
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
        String outcome = ErrorCode.INTERNAL.wireName();
        try {
            tryBackEnds();
            outcome = mIsTruncated ? RequestOutcome.TRUNCATED : RequestOutcome.ANSWERED;
        } catch (RattanportException e) {
            outcome = e.code().wireName();
            // A wait between two attempts knows nothing of the earlier one.
            throw mVerdict.compareTo(e.verdict()) > 0 ? e.withVerdict(mVerdict) : e;
        } finally {
            boolean isAnswered = outcome.equals(RequestOutcome.ANSWERED);
            String reason = isAnswered ? "" : String.valueOf(mLastError.getMessage());
            mTrace.ended(outcome, mVerdict, mRuns, reason);
        }
    }

    private void tryBackEnds() {
        for (int placements = 0;
                placements - mSelection.heldBack() < MAX_PLACEMENTS;
                placements++) {
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
            if (mHasReachedBackEnd && !mSilence.takeRetry()) {
                break;
            }
            Optional<Placement> placement = placeInTime();
            if (placement.isEmpty()) {
                mSelection.refusal().ifPresent(error -> mLastError = error);
                break;
            }
            if (attempt(placement.get())) {
                return;
            }
            if (mRelay.continuation().isEmpty()) {
                mLastError = ForwardingErrors.cannotBeContinued(mLastError);
                break;
            }
            if (mVerdict != Verdict.NOT_RUN
                    && (!mRoute.isRetryable() || mRuns >= mRoute.maxAttempts())) {
                break;
            }
        }
        endWithoutResponse();
    }

    /** Places the next attempt; a first attempt that would be late waits while it may. */
    private Optional<Placement> placeInTime() {
        boolean isFirst = mRuns == 0 && !mRelay.hasStarted();
        Optional<Placement> placement = mSelection.place(waited(isFirst));
        while (placement.flatMap(Placement::postponement).isPresent()) {
            mTrace.placementPostponed(placement.get());
            mComponents.time().sleep(placement.get().postponement().get());
            requireWorthSending();
            placement = mSelection.place(waited(isFirst));
        }
        if (isFirst) {
            placement.ifPresent(this::requirePromising);
        }
        return placement;
    }

    /** Refuses a request at once whose first event is predicted long after its deadline. */
    private void requirePromising(Placement placement) {
        double predictedMillis =
                placement.work().map(EngineWork::predictedFirstEventMillis).orElse(0.0);
        Duration remaining = mDeadline.remaining(mComponents.time());
        if (PlacementWait.isHopeless(predictedMillis, remaining)) {
            mComponents.workNotifier().ended(mRequest.attemptId());
            throw ForwardingErrors.cannotBeServedInTime(
                    Duration.ofMillis(Math.round(predictedMillis)).minus(remaining));
        }
    }

    /** Returns how long the caller has waited; empty if the request may not wait on. */
    private Optional<Duration> waited(boolean isFirst) {
        Duration waited = Duration.ofNanos(mComponents.time().nanoTime() - mStartNanos);
        Duration remaining = mDeadline.remaining(mComponents.time());
        return isFirst && PlacementWait.isAllowed(mRoute, waited, remaining)
                ? Optional.of(waited)
                : Optional.empty();
    }

    private boolean hasTimeForAttempt() {
        return mDeadline.remaining(mComponents.time()).compareTo(MIN_ATTEMPT_TIME) >= 0;
    }

    /** Sends the request to one back end; returns whether the request has ended for the caller. */
    private boolean attempt(Placement placement) {
        BackEnd backEnd = placement.backEnd();
        int runsBefore = mRuns;
        mSelection.exclude(backEnd);
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
        mSelection.requireAllowed(placement);
        if (placement.reservations().isEmpty()) {
            return () -> {};
        }
        MemoryLeases.Lease lease =
                mComponents
                        .leases()
                        .acquire(
                                placement.reservations(), placement.backEnd(), mSelection::exclude);
        mLease = Optional.of(lease);
        return () -> {
            mLease = Optional.empty();
            lease.close();
        };
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
                        Urgency.of(mRoute.latencyObjective(), placement.isDeferred()),
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
                            mSelection.requireAccepting(placement);
                            mWritten = ClockReading.now(mComponents.time());
                            mComponents.workNotifier().written(mRequest.attemptId());
                            mTrace.attemptSent(placement, mComponents.registry().version());
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

    private boolean handleResponse(Placement placement, BackEndExchange exchange) {
        BackEnd backEnd = placement.backEnd();
        ResponseHead head =
                mSilence.awaitHead(
                        placement, mRuns, mRelay.hasStarted(), mDeadline, exchange::awaitHead);
        mTrace.responseReceived(head.status());
        mHasReachedBackEnd = true;
        mComponents.notices().recordResponse(backEnd, head);
        mComponents.rateLimits().recordResponse(backEnd, head, mWritten);
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

    /**
     * Records a refusal by the chosen back end or, if the response names one, by a prefill engine.
     */
    private void recordRefusal(Placement placement, ResponseHead head) {
        BackEnd faultyEngine =
                head.faultyEngineAddress()
                        .flatMap(placement::findByAddress)
                        .orElse(placement.backEnd());
        mSelection.allow(placement.backEnd());
        mSelection.exclude(faultyEngine);
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
            mVerdict = mVerdict.combinedWith(error.verdict());
            throw ForwardingErrors.callerDisconnected().withVerdict(mVerdict);
        }
        if (mCaller.cutSignal().isCancelled()) {
            mVerdict = mVerdict.combinedWith(error.verdict());
            mLastError = ForwardingErrors.stopping(mVerdict);
            traceFailure(backEnd, mLastError);
            endWithoutResponse();
            return true;
        }
        boolean isOver = error.code() == ErrorCode.DEADLINE_EXCEEDED && !hasTimeForAttempt();
        if (isOver || error.code() == ErrorCode.CANCELLED) {
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
            mSelection.allow(backEnd);
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
