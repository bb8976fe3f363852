package org.rattanport.decisions.action;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.rattanport.decisions.action.ClaimTable.ClaimResult;
import org.rattanport.decisions.retry.RetryBudget;
import org.rattanport.decisions.retry.RetryPolicy;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.environment.ServicePool;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.ActionResult;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.target.ServiceClient;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Runs operations of plain services.
 *
 * <p>Idempotent operations are retried. Every other operation runs at most once: the service first
 * claims the idempotency key of the call in the table service, sends only under a confirmed claim,
 * and stores the outcome in the claim row. Later calls with the same key get the stored response,
 * until the row is deleted after the idempotency retention.
 */
public final class ActionService {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

    private final TargetDirectory mDirectory;
    private final ServiceClient mServiceClient;
    private final ClaimTable mClaims;
    private final ClaimSettler mSettler;
    private final RetryPolicy mRetryPolicy;
    private final RetryBudget mRetryBudget;
    private final RequestJournal mJournal;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;

    public ActionService(
            TargetDirectory directory,
            ServiceClient serviceClient,
            ClaimTable claims,
            ClaimSettler settler,
            RetryPolicy retryPolicy,
            RetryBudget retryBudget,
            RequestJournal journal,
            TimeSource time,
            RandomGenerator random) {
        mDirectory = directory;
        mServiceClient = serviceClient;
        mClaims = claims;
        mSettler = settler;
        mRetryPolicy = retryPolicy;
        mRetryBudget = retryBudget;
        mJournal = journal;
        mTime = time;
        mRandom = random;
    }

    /**
     * Runs the operation.
     *
     * @throws RattanportException with a verdict that states whether this call may have run
     */
    public ActionResult run(ActionRequest request, ActiveEnvironment environment) {
        ServicePool service =
                environment
                        .document()
                        .service(request.service())
                        .orElseThrow(
                                () -> unknownName(ErrorCode.UNKNOWN_SERVICE, request.service()));
        Operation operation =
                service.operation(request.operation())
                        .orElseThrow(
                                () ->
                                        unknownName(
                                                ErrorCode.UNKNOWN_OPERATION, request.operation()));
        mRetryBudget.recordFirstAttempt(service.name());
        if (operation.isIdempotent()) {
            return callWithRetries(request, operation, 0);
        }
        return runAtMostOnce(request, operation);
    }

    /** Reads the claim on an idempotency key, so that a caller can query the outcome later. */
    public Optional<Claim> outcome(AccountId account, String idempotencyKey, Deadline deadline) {
        return mClaims.read(ClaimKeys.of(account, idempotencyKey), deadline);
    }

    private ActionResult runAtMostOnce(ActionRequest request, Operation operation) {
        String idempotencyKey =
                request.idempotencyKey()
                        .filter(key -> !key.isBlank())
                        .orElseThrow(
                                () ->
                                        RattanportException.builder(
                                                        ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
                                                        "operation "
                                                                + operation.name()
                                                                + " is not idempotent and requires"
                                                                + " an idempotency key")
                                                .field("Idempotency-Key")
                                                .build());
        String key = ClaimKeys.of(request.account(), idempotencyKey);
        Verdict verdict = Verdict.NOT_RUN;
        while (true) {
            ClaimResult result = claimKey(key, request, verdict);
            if (result instanceof ClaimResult.Granted granted) {
                return callUnderClaim(key, granted.claim(), request, operation);
            }
            Claim found = ((ClaimResult.Taken) result).claim();
            if (!found.fingerprint().equals(request.fingerprint().value())) {
                throw RattanportException.builder(
                                ErrorCode.IDEMPOTENCY_KEY_REUSED,
                                "the idempotency key was already used with another operation or"
                                        + " body")
                        .field("Idempotency-Key")
                        .build();
            }
            if (found.state() == ClaimState.DONE) {
                mJournal.record(request.id(), "returned the stored response of an earlier call");
                return new ActionResult(found.status(), found.body(), true);
            }
            if (found.state() == ClaimState.UNSETTLED) {
                throw RattanportException.builder(
                                ErrorCode.IDEMPOTENT_CALL_UNSETTLED,
                                "an earlier call with this key may have run and its outcome is"
                                        + " unknown; query the status at the service")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .build();
            }
            // The earlier call may have run, so a later failure to claim cannot state NOT_RUN.
            verdict = Verdict.MAY_HAVE_RUN;
            awaitOutcome(key, request);
        }
    }

    /**
     * Waits until the attempt that holds the claim stores its outcome in the row.
     *
     * @throws RattanportException {@code IDEMPOTENT_CALL_IN_PROGRESS} when the deadline comes first
     */
    private void awaitOutcome(String key, ActionRequest request) {
        Duration backoff = INITIAL_BACKOFF;
        while (true) {
            if (request.deadline().remaining(mTime).compareTo(backoff) <= 0) {
                throw RattanportException.builder(
                                ErrorCode.IDEMPOTENT_CALL_IN_PROGRESS,
                                "an earlier call with this key is still in progress")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .retryAfter(MAX_BACKOFF)
                        .build();
            }
            mTime.sleep(backoff);
            if (!mayStillBeSending(key, request)) {
                return;
            }
            Duration doubled = backoff.multipliedBy(2);
            backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
        }
    }

    /**
     * Also true when the row is absent or the table service is unavailable; neither shows an
     * outcome.
     */
    private boolean mayStillBeSending(String key, ActionRequest request) {
        try {
            return mClaims.read(key, request.deadline())
                    .filter(claim -> claim.state() != ClaimState.SENDING)
                    .isEmpty();
        } catch (RattanportException e) {
            if (e.code() == ErrorCode.STORE_UNAVAILABLE) {
                return true;
            }
            throw e;
        }
    }

    /**
     * Claims the key. The call is never sent after an unconfirmed claim. If the row of that claim
     * may exist, the settler sets it to {@code NOT_RUN}, which lets a later call claim the key.
     */
    private ClaimResult claimKey(String key, ActionRequest request, Verdict verdict) {
        try {
            return mClaims.claim(key, request.fingerprint(), request.deadline());
        } catch (ClaimUnconfirmedException e) {
            if (e.mayBeWritten()) {
                mSettler.enqueue(
                        e.key(), e.claim().withState(ClaimState.NOT_RUN, mTime.wallMillis()));
            }
            mJournal.record(request.id(), "the claim was not confirmed; the call was not sent");
            throw RattanportException.builder(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the table service did not confirm the claim on the idempotency key"
                                    + " in time; the call was not sent")
                    .verdict(verdict)
                    .cause(e)
                    .build();
        }
    }

    /** Calls the service under a confirmed claim and settles the claim with the outcome. */
    private ActionResult callUnderClaim(
            String key, Claim claim, ActionRequest request, Operation operation) {
        mJournal.record(
                request.id(),
                "claimed the idempotency key with fencing number " + claim.fencingNumber());
        try {
            ActionResult result = callWithRetries(request, operation, claim.fencingNumber());
            mSettler.settle(
                    key, claim.withResponse(result.status(), result.body(), mTime.wallMillis()));
            return result;
        } catch (RattanportException e) {
            ClaimState state =
                    e.verdict() == Verdict.NOT_RUN ? ClaimState.NOT_RUN : ClaimState.UNSETTLED;
            mSettler.settle(key, claim.withState(state, mTime.wallMillis()));
            throw e;
        }
    }

    /**
     * Calls targets until one responds or the policy refuses a retry. A call that may have run is
     * retried only if the operation is idempotent. The verdict of the error covers all attempts.
     */
    private ActionResult callWithRetries(
            ActionRequest request, Operation operation, long fencingNumber) {
        Set<TargetId> excluded = new HashSet<>();
        Verdict verdict = Verdict.NOT_RUN;
        for (int attempts = 1; ; attempts++) {
            Target target = chooseTarget(request, excluded, verdict);
            try {
                if (request.deadline().hasPassed(mTime)) {
                    throw new RattanportException(
                            ErrorCode.DEADLINE_EXCEEDED,
                            "the deadline passed before the call was sent");
                }
                mJournal.record(request.id(), "sending attempt " + attempts + " to " + target.id());
                ActionResult result =
                        mServiceClient.call(target, operation, request, fencingNumber);
                mDirectory.health().recordSuccess(target.id());
                return result;
            } catch (RattanportException e) {
                mJournal.record(
                        request.id(),
                        "attempt failed: "
                                + e.code().wireName()
                                + ", verdict "
                                + e.verdict().wireName());
                verdict = verdict.combinedWith(e.verdict());
                recordTargetFailure(target, e);
                excluded.add(target.id());
                if (!mRetryPolicy.shouldRetry(
                        e, operation.isIdempotent(), attempts, request.service())) {
                    throw e.withVerdict(verdict);
                }
            }
        }
    }

    private void recordTargetFailure(Target target, RattanportException error) {
        if (error.code() == ErrorCode.TARGET_LEAVING) {
            mDirectory.markDraining(target.id());
        } else if (error.code() == ErrorCode.TARGET_FAILED) {
            mDirectory.health().recordFailure(target.id());
        }
    }

    private Target chooseTarget(ActionRequest request, Set<TargetId> excluded, Verdict verdict) {
        List<Target> serving = mDirectory.serving(TargetKind.SERVICE, request.service());
        List<Target> untried =
                serving.stream().filter(each -> !excluded.contains(each.id())).toList();
        List<Target> candidates = untried.isEmpty() ? serving : untried;
        if (candidates.isEmpty()) {
            throw RattanportException.builder(
                            ErrorCode.NO_TARGET,
                            "service " + request.service() + " has no available target")
                    .verdict(verdict)
                    .retryAfter(MAX_BACKOFF)
                    .build();
        }
        return candidates.get(mRandom.nextInt(candidates.size()));
    }

    private static RattanportException unknownName(ErrorCode code, String name) {
        return RattanportException.builder(code, "\"" + name + "\" does not exist")
                .field(code == ErrorCode.UNKNOWN_SERVICE ? "service" : "operation")
                .build();
    }
}
