package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.time.Deadline;

/** One request on its way: attempts at back ends until one answers or none may be tried. */
final class Forwarding {
    private static final Logger LOGGER = Logger.getLogger(Forwarding.class);

    /** Back ends that may refuse or be out of reach before the request is refused. */
    private static final int MOST_TRIES = 5;

    /** Time to connect: several round trips, and less than the retransmission of a lost packet. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** When a refused caller should come back: by then a short request has ended. */
    private static final Duration COME_BACK = Duration.ofMillis(200);

    private final GatewayParts mParts;
    private final CallerRequest mRequest;
    private final CallerExchange mCaller;
    private final Route mRoute;
    private final BackEndService mService;
    private final Optional<GatewayAccount> mAccount;
    private final Deadline mDeadline;
    private AnswerRelay mRelay;
    private final Set<String> mExcluded = new HashSet<>();
    private final RequestTrace mTrace;
    private final Fingerprint mFingerprint;
    private Optional<String> mAsked = Optional.empty();
    private int mRuns;
    private boolean mIsCut;
    private boolean mHasArrived;
    private Verdict mVerdict = Verdict.NOT_RUN;
    private RattanportException mLast =
            new RattanportException(ErrorCode.NO_TARGET, "no back end takes requests");

    Forwarding(
            GatewayParts parts,
            CallerRequest request,
            CallerExchange caller,
            Route route,
            BackEndService service,
            Optional<GatewayAccount> account,
            Deadline deadline) {
        mParts = parts;
        mRequest = request;
        mCaller = caller;
        mRoute = route;
        mService = service;
        mAccount = account;
        mDeadline = deadline;
        mFingerprint = request.fingerprint(account.map(GatewayAccount::name).orElse(""));
        RequestTrace.Subject subject =
                new RequestTrace.Subject(
                        request.attemptId(),
                        route,
                        service.name(),
                        account.map(GatewayAccount::name).orElse("-"),
                        parts.routing().version());
        mTrace = new RequestTrace(subject, parts.events(), parts.time());
        mRelay = relay();
    }

    private AnswerRelay relay() {
        if (mRoute.kind() != RouteKind.STREAMING) {
            return new WholeAnswerRelay(mCaller, mTrace::passedOn);
        }
        return new EventRelay(
                mCaller,
                mParts.time(),
                mRequest.lastEventId(),
                this::patienceBetween,
                this::reading,
                this::passedOn);
    }

    private void passedOn() {
        mTrace.passedOn();
        mParts.news().writes(mRequest.attemptId());
    }

    /** Forwards the request; throws when nothing was sent to the caller. */
    void run() {
        String outcome = RequestOutcome.ANSWERED;
        try {
            tryBackEnds();
            outcome = mIsCut ? RequestOutcome.CUT : outcome;
        } catch (RattanportException e) {
            outcome = e.code().text();
            throw e;
        } finally {
            boolean isAnswered = outcome.equals(RequestOutcome.ANSWERED);
            String reason = isAnswered ? "" : String.valueOf(mLast.getMessage());
            mTrace.ended(outcome, mVerdict, mRuns, reason);
        }
    }

    private void tryBackEnds() {
        if (mParts.judge().isPoison(mFingerprint)) {
            mLast =
                    new RattanportException(
                            ErrorCode.POISON_REQUEST, "engines died with this request before");
            throw mLast;
        }
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            if (mCaller.departure().isCancelled()) {
                throw left();
            }
            if (mDeadline.hasPassed(mParts.time())) {
                mLast = new RattanportException(ErrorCode.DEADLINE_EXCEEDED, "no time is left");
                break;
            }
            if (mHasArrived && !mParts.allowance().take(mService.name())) {
                break;
            }
            Optional<Placement> placement = place();
            if (placement.isEmpty()) {
                break;
            }
            if (attempt(placement.get())) {
                return;
            }
            if (mVerdict != Verdict.NOT_RUN
                    && (!mRoute.isRepeatable() || mRuns >= mRoute.maxAttempts())) {
                break;
            }
        }
        giveUp();
    }

    private Optional<Placement> place() {
        BackEndPlacement policy = mService.engine().isPresent() ? mParts.prompts() : mParts.calls();
        return policy.place(
                new PlacementQuery(
                        mService, mRequest, mRoute.objective(), mRoute.longestPause(), mExcluded));
    }

    /** Sends the request once; returns whether the caller has a final answer. */
    private boolean attempt(Placement placement) {
        BackEnd backEnd = placement.backEnd();
        int runsBefore = mRuns;
        mExcluded.add(backEnd.id());
        mTrace.sent(placement);
        mAsked = Optional.of(backEnd.id());
        mHasArrived = false;
        mParts.loads().sent(backEnd.id());
        placement.work().ifPresent(mParts.news()::placed);
        try (Closing lease = lease(placement);
                BackEndExchange exchange = send(placement)) {
            AutoCloseable departure = mCaller.departure().onCancel(exchange::abort);
            try {
                return answer(placement, exchange);
            } finally {
                closeQuietly(departure);
            }
        } catch (RattanportException e) {
            return failed(backEnd, e, runsBefore);
        } finally {
            mParts.loads().done(backEnd.id());
            placement.work().ifPresent(work -> mParts.news().ended(work.id()));
        }
    }

    /** Something to close without a checked exception. */
    private interface Closing extends AutoCloseable {
        @Override
        void close();
    }

    private Closing lease(Placement placement) {
        return placement.reservations().isEmpty()
                ? () -> {}
                : mParts.leases().acquire(placement.reservations(), this::exclude)::close;
    }

    private void exclude(BackEnd engine) {
        mExcluded.add(engine.id());
    }

    private BackEndExchange send(Placement placement) {
        Attempt attempt =
                new Attempt(
                        mRequest,
                        placement.backEnd(),
                        mDeadline.remaining(mParts.time()),
                        mAccount.map(GatewayAccount::name),
                        Urgency.of(mRoute.objective()),
                        placement.readers().stream()
                                .map(
                                        each ->
                                                new Attempt.Reader(
                                                        each.address(),
                                                        placement.reservation(each)))
                                .toList(),
                        mRelay.lastEventId());
        return mParts.client().send(attempt, mDeadline.within(mParts.time(), CONNECT_TIMEOUT));
    }

    private boolean answer(Placement placement, BackEndExchange exchange) {
        BackEnd backEnd = placement.backEnd();
        AnswerHead head =
                patienceUntilFirst(placement)
                        .await(mParts.time(), mDeadline, this::reading, exchange::head);
        mTrace.answered(head.status());
        mHasArrived = true;
        head.load().ifPresent(load -> mParts.loads().reported(backEnd.id(), load));
        if (head.isNotRun()) {
            refused(placement, head);
            mLast =
                    RattanportException.builder(ErrorCode.TARGET_REFUSED, "every back end refused")
                            .retryAfter(COME_BACK)
                            .build();
            return false;
        }
        mRuns++;
        mVerdict = mVerdict.and(Verdict.MAY_HAVE_RUN);
        requireOwnAnswer(head);
        if (mayAskAnother(head)) {
            throw ranBadly("the back end answered " + head.status());
        }
        if (head.isSuccess()) {
            mRelay.relay(head, exchange, mDeadline);
        } else {
            mRelay = new WholeAnswerRelay(mCaller, mTrace::passedOn);
            mRelay.relay(head, exchange, mDeadline);
        }
        mParts.judge().succeeded(backEnd, mFingerprint);
        return true;
    }

    /** The last engine that may be asked is waited for, however long it is silent. */
    private Patience patienceBetween() {
        boolean mayAskAnother = mRoute.isRepeatable() && mRuns < mRoute.maxAttempts();
        return mayAskAnother ? Patience.between(mRoute) : Patience.unlimited(mRoute);
    }

    /** A silent back end is only given up early while another one may be asked. */
    private Patience patienceUntilFirst(Placement placement) {
        boolean mayAskAnother = mRoute.isRepeatable() && mRuns + 1 < mRoute.maxAttempts();
        if (!mayAskAnother || mRelay.hasStarted()) {
            return Patience.unlimited(mRoute);
        }
        double predicted = placement.work().map(Work::firstEventMillis).orElse(0.0);
        return Patience.untilFirst(mRoute, predicted);
    }

    /** How long the back end that was asked last is still known to read. */
    private Duration reading() {
        return mAsked.map(mParts.work()::readsFor).orElse(Duration.ZERO);
    }

    /** Finds who refused: the back end that was asked, or an engine that was to read for it. */
    private void refused(Placement placement, AnswerHead head) {
        BackEnd culprit = head.culprit().flatMap(placement::at).orElse(placement.backEnd());
        mExcluded.remove(placement.backEnd().id());
        mExcluded.add(culprit.id());
        if (head.isOtherBackEnd()) {
            mParts.register().heardOther(culprit);
        }
        mParts.judge().refused(culprit, head.culprit().isPresent());
    }

    /** An answer to another attempt, or a success without signature, is not this caller's. */
    private void requireOwnAnswer(AnswerHead head) {
        boolean isOther =
                head.attemptId().filter(id -> !id.equals(mRequest.attemptId())).isPresent();
        if (isOther || (head.isSuccess() && !head.isSealed())) {
            throw ranBadly("the answer belongs to another request");
        }
    }

    private static RattanportException ranBadly(String reason) {
        return RattanportException.builder(ErrorCode.TARGET_FAILED, reason)
                .verdict(Verdict.RAN)
                .build();
    }

    private boolean mayAskAnother(AnswerHead head) {
        if (mRelay.hasStarted()) {
            return !head.isSuccess();
        }
        return head.status() >= 500 && mRoute.isRepeatable() && mRuns < mRoute.maxAttempts();
    }

    private boolean failed(BackEnd backEnd, RattanportException error, int runsBefore) {
        if (error.code() == ErrorCode.CANCELLED) {
            throw left();
        }
        mTrace.failed(
                backEnd,
                error.code().text(),
                error.verdict(),
                mRelay.hasStarted(),
                String.valueOf(error.getMessage()));
        if (error.code() == ErrorCode.DEADLINE_EXCEEDED && mDeadline.hasPassed(mParts.time())) {
            mVerdict = mVerdict.and(error.verdict());
            mLast = error;
            giveUp();
            return true;
        }
        mLast = error;
        if (error.code() == ErrorCode.TARGET_REFUSED) {
            // Memory was not to be had; the engine that would have written is not at fault.
            mExcluded.remove(backEnd.id());
            return false;
        }
        mParts.judge().failed(backEnd, mFingerprint, error);
        boolean hadConnection = error.verdict() != Verdict.NOT_RUN;
        mHasArrived |= hadConnection;
        if (hadConnection && mRuns == runsBefore) {
            mRuns++;
        }
        mVerdict = mVerdict.and(error.verdict());
        return false;
    }

    /** Ends the request without an answer of a back end. */
    private void giveUp() {
        if (mRelay.hasStarted()) {
            mIsCut = true;
            mCaller.cut();
            return;
        }
        throw mVerdict == Verdict.NOT_RUN ? mLast : mLast.withVerdict(mVerdict);
    }

    private static RattanportException left() {
        return new RattanportException(ErrorCode.CANCELLED, "the caller has left");
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            LOGGER.warnf(e, "a departure hook could not be taken away");
        }
    }
}
