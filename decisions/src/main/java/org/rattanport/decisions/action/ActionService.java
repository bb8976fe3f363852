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
 * Runs operations of plain services: idempotent ones with retries, the others at most once under a
 * claim on their idempotency key.
 */
public final class ActionService {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    private final TargetDirectory mDirectory;
    private final ServiceClient mServices;
    private final ClaimTable mClaims;
    private final ClaimSettler mSettler;
    private final RetryPolicy mRetry;
    private final RetryBudget mBudget;
    private final RequestJournal mJournal;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;

    public ActionService(
            TargetDirectory directory,
            ServiceClient services,
            ClaimTable claims,
            ClaimSettler settler,
            RetryPolicy retry,
            RetryBudget budget,
            RequestJournal journal,
            TimeSource time,
            RandomGenerator random) {
        mDirectory = directory;
        mServices = services;
        mClaims = claims;
        mSettler = settler;
        mRetry = retry;
        mBudget = budget;
        mJournal = journal;
        mTime = time;
        mRandom = random;
    }

    /**
     * Runs the operation.
     *
     * @throws RattanportException with a verdict that is true of this call's effect
     */
    public ActionResult run(ActionRequest request, ActiveEnvironment environment) {
        ServicePool service =
                environment
                        .document()
                        .service(request.service())
                        .orElseThrow(() -> unknown(ErrorCode.UNKNOWN_SERVICE, request.service()));
        Operation operation =
                service.operation(request.operation())
                        .orElseThrow(
                                () -> unknown(ErrorCode.UNKNOWN_OPERATION, request.operation()));
        mBudget.firstTry(service.name());
        if (operation.isIdempotent()) {
            return attemptUntilDone(request, operation, 0);
        }
        return runOnce(request, operation);
    }

    /** Reads what is known of the call with a key; the caller's way to learn an outcome later. */
    public Optional<Claim> outcome(AccountId account, String idempotencyKey, Deadline deadline) {
        return mClaims.read(ClaimKeys.of(account, idempotencyKey), deadline);
    }

    private ActionResult runOnce(ActionRequest request, Operation operation) {
        String idempotencyKey =
                request.idempotencyKey()
                        .filter(key -> !key.isBlank())
                        .orElseThrow(
                                () ->
                                        RattanportException.builder(
                                                        ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
                                                        "operation "
                                                                + operation.name()
                                                                + " may not be repeated and needs"
                                                                + " an idempotency key")
                                                .field("Idempotency-Key")
                                                .build());
        String key = ClaimKeys.of(request.account(), idempotencyKey);
        Verdict verdict = Verdict.NOT_RUN;
        while (true) {
            ClaimResult result = claim(key, request, verdict);
            if (result instanceof ClaimResult.Granted granted) {
                return send(key, granted.claim(), request, operation);
            }
            Claim found = ((ClaimResult.Taken) result).claim();
            if (!found.fingerprint().equals(request.fingerprint().value())) {
                throw RattanportException.builder(
                                ErrorCode.IDEMPOTENCY_KEY_REUSED,
                                "the idempotency key was used with another operation or body")
                        .field("Idempotency-Key")
                        .build();
            }
            if (found.state() == ClaimState.DONE) {
                mJournal.note(request.id(), "answered from the outcome of an earlier run");
                return new ActionResult(found.status(), found.body(), true);
            }
            if (found.state() == ClaimState.UNSETTLED) {
                throw RattanportException.builder(
                                ErrorCode.IDEMPOTENT_CALL_UNSETTLED,
                                "an earlier call with this key may have run and its outcome is"
                                        + " unknown; read the status at the service")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .build();
            }
            verdict = Verdict.MAY_HAVE_RUN;
            waitForOutcome(key, request);
        }
    }

    /** The call runs somewhere else now; its outcome will appear in the row. */
    private void waitForOutcome(String key, ActionRequest request) {
        Duration pause = FIRST_PAUSE;
        while (true) {
            if (request.deadline().remaining(mTime).compareTo(pause) <= 0) {
                throw RattanportException.builder(
                                ErrorCode.IDEMPOTENT_CALL_IN_PROGRESS,
                                "an earlier call with this key has not ended")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .retryAfter(LONGEST_PAUSE)
                        .build();
            }
            mTime.sleep(pause);
            if (!isStillSending(key, request)) {
                return;
            }
            Duration doubled = pause.multipliedBy(2);
            pause = doubled.compareTo(LONGEST_PAUSE) < 0 ? doubled : LONGEST_PAUSE;
        }
    }

    private boolean isStillSending(String key, ActionRequest request) {
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

    private ClaimResult claim(String key, ActionRequest request, Verdict verdict) {
        try {
            return mClaims.claim(key, request.fingerprint(), request.deadline());
        } catch (ClaimUnknownException e) {
            if (e.mayBeWritten()) {
                mSettler.settleLater(
                        e.key(), e.claim().with(ClaimState.NOT_RUN, mTime.wallMillis()));
            }
            mJournal.note(request.id(), "the claim was not confirmed; never sent");
            throw RattanportException.builder(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the platform's table service did not confirm the claim in time; the"
                                    + " call was not sent")
                    .verdict(verdict)
                    .cause(e)
                    .build();
        }
    }

    private ActionResult send(String key, Claim claim, ActionRequest request, Operation operation) {
        mJournal.note(request.id(), "claimed with fencing number " + claim.fencingNumber());
        try {
            ActionResult result = attemptUntilDone(request, operation, claim.fencingNumber());
            mSettler.settle(key, claim.done(result.status(), result.body(), mTime.wallMillis()));
            return result;
        } catch (RattanportException e) {
            ClaimState state =
                    e.verdict() == Verdict.NOT_RUN ? ClaimState.NOT_RUN : ClaimState.UNSETTLED;
            mSettler.settle(key, claim.with(state, mTime.wallMillis()));
            throw e;
        }
    }

    /**
     * Makes attempts as long as the policy allows; what may have run is repeated only if
     * idempotent.
     */
    private ActionResult attemptUntilDone(
            ActionRequest request, Operation operation, long fencingNumber) {
        Set<TargetId> excluded = new HashSet<>();
        Verdict verdict = Verdict.NOT_RUN;
        for (int attempts = 1; ; attempts++) {
            Target target = choose(request, excluded, verdict);
            try {
                if (request.deadline().hasPassed(mTime)) {
                    throw new RattanportException(
                            ErrorCode.DEADLINE_EXCEEDED, "the time ran out before sending");
                }
                mJournal.note(request.id(), "attempt " + attempts + " at " + target.id());
                ActionResult result = mServices.call(target, operation, request, fencingNumber);
                mDirectory.health().succeeded(target.id());
                return result;
            } catch (RattanportException e) {
                mJournal.note(
                        request.id(),
                        "attempt failed: " + e.code().text() + ", " + e.verdict().text());
                verdict = verdict.and(e.verdict());
                noteFailure(target, e);
                excluded.add(target.id());
                if (!mRetry.shouldRetry(e, operation.isIdempotent(), attempts, request.service())) {
                    throw e.withVerdict(verdict);
                }
            }
        }
    }

    private void noteFailure(Target target, RattanportException error) {
        if (error.code() == ErrorCode.TARGET_LEAVING) {
            mDirectory.markLeaving(target.id());
        } else if (error.code() == ErrorCode.TARGET_FAILED) {
            mDirectory.health().failed(target.id());
        }
    }

    private Target choose(ActionRequest request, Set<TargetId> excluded, Verdict verdict) {
        List<Target> serving = mDirectory.serving(TargetKind.SERVICE, request.service());
        List<Target> fresh =
                serving.stream().filter(each -> !excluded.contains(each.id())).toList();
        List<Target> usable = fresh.isEmpty() ? serving : fresh;
        if (usable.isEmpty()) {
            throw RattanportException.builder(
                            ErrorCode.NO_TARGET,
                            "service " + request.service() + " has no target that takes work")
                    .verdict(verdict)
                    .retryAfter(LONGEST_PAUSE)
                    .build();
        }
        return usable.get(mRandom.nextInt(usable.size()));
    }

    private static RattanportException unknown(ErrorCode code, String name) {
        return RattanportException.builder(code, "\"" + name + "\" does not exist")
                .field(code == ErrorCode.UNKNOWN_SERVICE ? "service" : "operation")
                .build();
    }
}
