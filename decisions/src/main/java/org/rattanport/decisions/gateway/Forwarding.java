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
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.time.Deadline;

/** One request on its way: attempts at back ends until one answers or none may be tried. */
final class Forwarding {
    private static final Logger LOGGER = Logger.getLogger(Forwarding.class);

    /** Back ends that may refuse or be out of reach before the request is refused. */
    private static final int MOST_TRIES = 5;

    /** Engines that may die with one request before it is refused for good. */
    private static final int MOST_DEATHS = 3;

    /** Time to connect: several round trips, and less than the retransmission of a lost packet. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** When a refused caller should come back: by then a short request has ended. */
    private static final Duration COME_BACK = Duration.ofMillis(200);

    /** Shortest silence of a stream after which its engine is given up. */
    private static final Duration LEAST_SILENCE = Duration.ofMillis(1_200);

    /** Silence of a stream relative to the pause that is still on time. */
    private static final int SILENT_PAUSES = 4;

    /** Weights of failures for the health of a back end. */
    private static final double NO_CONNECTION = 2.0;

    private static final double BROKEN = 1.0;
    private static final double FAILED = 0.5;
    private static final double REFUSED = 0.2;

    private static final int SHORT_OBJECTIVE_MILLIS = 500;
    private static final int MIDDLE_OBJECTIVE_MILLIS = 2_000;
    private static final int URGENT = 1;
    private static final int USUAL = 4;
    private static final int PATIENT = 6;

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
    private int mRuns;
    private boolean mIsCut;
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
                        route.name(),
                        service.name(),
                        account.map(GatewayAccount::name).orElse("-"),
                        parts.routing().version());
        mTrace = new RequestTrace(subject, parts.events(), parts.time());
        mRelay = relay();
    }

    private AnswerRelay relay() {
        if (mRoute.kind() != RouteKind.STREAMING) {
            return new WholeAnswerRelay(mCaller);
        }
        Duration pauses = mRoute.longestPause().multipliedBy(SILENT_PAUSES);
        Duration silence = pauses.compareTo(LEAST_SILENCE) > 0 ? pauses : LEAST_SILENCE;
        return new EventRelay(
                mCaller,
                mParts.time(),
                mRequest.lastEventId(),
                silence,
                () -> mParts.news().writes(mRequest.attemptId()));
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
        if (mParts.suspicions().deaths(mFingerprint) >= MOST_DEATHS) {
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
            if (tries > 0 && !mParts.allowance().take(mService.name())) {
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
                : mParts.leases().acquire(placement.reservations())::close;
    }

    private BackEndExchange send(Placement placement) {
        Attempt attempt =
                new Attempt(
                        mRequest,
                        placement.backEnd(),
                        mDeadline.remaining(mParts.time()),
                        mAccount.map(GatewayAccount::name),
                        urgency(),
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

    private int urgency() {
        long objective = mRoute.objective().toMillis();
        if (objective <= SHORT_OBJECTIVE_MILLIS) {
            return URGENT;
        }
        return objective <= MIDDLE_OBJECTIVE_MILLIS ? USUAL : PATIENT;
    }

    private boolean answer(Placement placement, BackEndExchange exchange) {
        BackEnd backEnd = placement.backEnd();
        AnswerHead head = exchange.head(mDeadline);
        mTrace.answered(head.status());
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
            mParts.health().failed(backEnd.id(), FAILED);
            throw new RattanportException(
                    ErrorCode.TARGET_FAILED, "the back end answered " + head.status());
        }
        if (head.isSuccess()) {
            mRelay.relay(head, exchange, mDeadline);
        } else {
            mRelay = new WholeAnswerRelay(mCaller);
            mRelay.relay(head, exchange, mDeadline);
        }
        mParts.health().succeeded(backEnd.id());
        mParts.suspicions().acquitted(mFingerprint);
        return true;
    }

    /** Finds who refused: the back end that was asked, or an engine that was to read for it. */
    private void refused(Placement placement, AnswerHead head) {
        BackEnd culprit = head.culprit().flatMap(placement::at).orElse(placement.backEnd());
        mExcluded.remove(placement.backEnd().id());
        mExcluded.add(culprit.id());
        if (head.isOtherBackEnd()) {
            mParts.register().heardOther(culprit);
        }
        mParts.health().failed(culprit.id(), head.culprit().isPresent() ? BROKEN : REFUSED);
    }

    /** An answer to another attempt, or a success without signature, is not this caller's. */
    private void requireOwnAnswer(AnswerHead head) {
        boolean isOther =
                head.attemptId().filter(id -> !id.equals(mRequest.attemptId())).isPresent();
        if (isOther || (head.isSuccess() && !head.isSealed())) {
            throw new RattanportException(
                    ErrorCode.TARGET_FAILED, "the answer belongs to another request");
        }
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
        boolean hadConnection = error.verdict() != Verdict.NOT_RUN;
        if (error.code() == ErrorCode.TARGET_REFUSED) {
            mLast = error;
            return false;
        }
        mParts.health().failed(backEnd.id(), hadConnection ? BROKEN : NO_CONNECTION);
        if (hadConnection && mRuns == runsBefore) {
            mRuns++;
        }
        if (error.code() == ErrorCode.TARGET_FAILED && hadConnection && mTrace.status() < 500) {
            TargetId engine = new TargetId(backEnd.id(), backEnd.born());
            mParts.suspicions().died(mFingerprint, engine);
        }
        mVerdict = mVerdict.and(error.verdict());
        mLast = error;
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
