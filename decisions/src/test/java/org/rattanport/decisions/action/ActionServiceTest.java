package org.rattanport.decisions.action;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.decisions.FakeRowCodec;
import org.rattanport.decisions.FakeTable;
import org.rattanport.decisions.StoreFault;
import org.rattanport.decisions.TestDocuments;
import org.rattanport.decisions.retry.BudgetedRetryPolicy;
import org.rattanport.decisions.retry.RetryBudget;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.decisions.target.TargetHealth;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.ActionResult;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.target.ServiceClient;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Checks verdicts and run counts of calls under faults of the table service and the target. */
final class ActionServiceTest {
    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
    private static final int CALLS_PER_CASE = 10_000;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final FakeRowCodec mCodec = new FakeRowCodec();
    private final FakeService mService = new FakeService();
    private final List<ClaimWriter> mWriters = new ArrayList<>();
    private FakeTable mTable = new FakeTable(1);

    @AfterEach
    void close() {
        mWriters.forEach(ClaimWriter::close);
    }

    @Nested
    final class FaultTable {
        /** Columns: store fault, service fault, probability of a fault, seed. */
        @ParameterizedTest
        @CsvSource({
            "NONE, NONE, 0, 1",
            "NOT_SENT, NONE, 0.3, 2",
            "LOST_REQUEST, NONE, 0.3, 3",
            "LOST_ANSWER, NONE, 0.3, 4",
            "LATE_WRITE, NONE, 0.3, 5",
            "NONE, REFUSED, 0.4, 6",
            "NONE, RUN_THEN_BROKEN, 0.4, 7",
            "NONE, BROKEN_BEFORE_RUN, 0.4, 8",
            "LOST_ANSWER, RUN_THEN_BROKEN, 0.3, 9",
            "LATE_WRITE, REFUSED, 0.3, 10",
            "LOST_ANSWER, BROKEN_BEFORE_RUN, 0.7, 11",
            "LATE_WRITE, RUN_THEN_BROKEN, 0.7, 12"
        })
        void shouldRunAtMostOnceAndReportTrueVerdicts(
                StoreFault storeFault, ServiceFault serviceFault, double probability, long seed) {
            mTable = new FakeTable(seed);
            mTable.injectRandomFaults(storeFault, probability);
            mService.setFault(serviceFault, probability, seed);
            ActionService first = newService("first");
            ActionService second = newService("second");
            for (int i = 0; i < CALLS_PER_CASE; i++) {
                String key = "key-" + i;
                Verdict firstVerdict = call(first, key).verdict();
                int runsAfterFirst = mService.runs(key);
                if (firstVerdict == Verdict.NOT_RUN) {
                    assertThat(runsAfterFirst).isEqualTo(0);
                }
                // The caller retries at another instance.
                Verdict secondVerdict = call(second, key).verdict();
                assertThat(mService.runs(key)).isAtMost(1);
                if (firstVerdict == Verdict.NOT_RUN && secondVerdict == Verdict.NOT_RUN) {
                    assertThat(mService.runs(key)).isEqualTo(0);
                }
                if (firstVerdict == Verdict.RAN || secondVerdict == Verdict.RAN) {
                    assertThat(mService.runs(key)).isEqualTo(1);
                }
            }
            mTable.applyLateWrites();
        }
    }

    @Nested
    final class Claiming {
        @Test
        void shouldRejectACallWithoutAnIdempotencyKey() {
            RattanportException error =
                    runExpectingFailure(newService("a"), request("lock-out", "", "{}"));
            assertThat(error.code()).isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REQUIRED);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
        }

        @Test
        void shouldRejectAKeyReusedWithAnotherBody() {
            ActionService service = newService("a");
            run(service, request("lock-out", "k", "{\"pump\": 1}"));
            RattanportException error =
                    runExpectingFailure(service, request("lock-out", "k", "{\"pump\": 2}"));
            assertThat(error.code()).isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REUSED);
            assertThat(mService.runs("k")).isEqualTo(1);
        }

        @Test
        void shouldScopeKeysByAccount() {
            ActionService service = newService("a");
            run(service, request("inspectors", "lock-out", "k", "{}"));
            run(service, request("reviews", "lock-out", "k", "{}"));
            assertThat(mService.runs("k")).isEqualTo(2);
        }

        @Test
        void shouldReplayAStoredResponse() {
            ActionResult first = run(newService("a"), request("lock-out", "k", "{}"));
            ActionResult again = run(newService("b"), request("lock-out", "k", "{}"));
            assertThat(again.isReplayed()).isTrue();
            assertThat(again.body()).isEqualTo(first.body());
        }

        @Test
        void shouldFailAsNotRunWhileTheStoreIsDown() {
            mTable.setDown(true);
            RattanportException error =
                    runExpectingFailure(newService("a"), request("lock-out", "k", "{}"));
            assertThat(error.code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mService.runs("k")).isEqualTo(0);
        }

        @Test
        void shouldServeIdempotentCallsWhileTheStoreIsDown() {
            mTable.setDown(true);
            assertThat(run(newService("a"), request("status", "", "{}")).status()).isEqualTo(200);
        }
    }

    @Nested
    final class Recovery {
        @Test
        void shouldRunARetryAfterAnUnconfirmedClaimIsSettled() {
            ActionService service = newService("a");
            mTable.injectFaults(StoreFault.LOST_ANSWER);
            // Advances the test clock past the deadline, so that machine load has no effect.
            mTable.onLostResponse(() -> mTime.advance(TIME_LIMIT));
            ClaimTable claims = mClaims.get("a");
            RattanportException error =
                    runExpectingFailure(service, request("lock-out", "k", "{}", TIME_LIMIT));
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            mSettlers.get("a").retryPending();
            assertThat(claims.read(ClaimKeys.of(new AccountId("inspectors"), "k"), deadline()))
                    .isPresent();
            run(service, request("lock-out", "k", "{}"));
            assertThat(mService.runs("k")).isEqualTo(1);
        }

        @Test
        void shouldReportUnsettledWhenTheOwnerOfTheClaimHasEnded() {
            newService("a");
            ClaimTable claims = mClaims.get("a");
            String key = ClaimKeys.of(new AccountId("inspectors"), "k");
            ActionRequest request = request("lock-out", "k", "{}");
            claims.claim(key, request.fingerprint(), deadline());
            claims.scanPage("", 10, deadline())
                    .forEach(row -> claims.markUnsettled(row, deadline()));
            RattanportException error = runExpectingFailure(newService("b"), request);
            assertThat(error.code()).isEqualTo(ErrorCode.IDEMPOTENT_CALL_UNSETTLED);
            assertThat(error.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        @Test
        void shouldAcceptTheOutcomeOfAnOwnerThatResumesLate() {
            newService("a");
            ClaimTable claims = mClaims.get("a");
            String key = ClaimKeys.of(new AccountId("inspectors"), "k");
            ActionRequest request = request("lock-out", "k", "{}");
            var granted =
                    (ClaimTable.ClaimResult.Granted)
                            claims.claim(key, request.fingerprint(), deadline());
            claims.scanPage("", 10, deadline())
                    .forEach(row -> claims.markUnsettled(row, deadline()));
            claims.settle(key, granted.claim().withResponse(200, "{}", 0), deadline());
            assertThat(run(newService("b"), request).isReplayed()).isTrue();
        }
    }

    private final Map<String, ClaimTable> mClaims = new HashMap<>();
    private final Map<String, ClaimSettler> mSettlers = new HashMap<>();

    private ActionService newService(String instance) {
        ClaimWriter writer = new ClaimWriter(mTable, mTime);
        mWriters.add(writer);
        ClaimTable claims =
                new ClaimTable(mTable, writer, mCodec, new InstanceId(instance, 1), mTime);
        ClaimSettler settler = new ClaimSettler(claims, mTime);
        mClaims.put(instance, claims);
        mSettlers.put(instance, settler);
        TargetDirectory directory =
                new TargetDirectory(new TargetHealth(mTime), new EventStreams(), rumor -> {});
        directory.updateFromList(List.of(target("service-1"), target("service-2")));
        RetryBudget budget = new RetryBudget();
        return new ActionService(
                directory,
                mService,
                claims,
                settler,
                new BudgetedRetryPolicy(budget),
                budget,
                new RequestJournal(mTime),
                mTime,
                new Random(7));
    }

    private static Target target(String name) {
        return new Target(
                new TargetId(name, 1),
                TargetKind.SERVICE,
                TestDocuments.SERVICE,
                "127.0.0.1:1",
                "dc",
                false);
    }

    /** Outcome of one call as the caller sees it. */
    private record CallOutcome(Verdict verdict) {}

    private CallOutcome call(ActionService service, String key) {
        try {
            run(service, request("lock-out", key, "{}"));
            return new CallOutcome(Verdict.RAN);
        } catch (RattanportException e) {
            mTime.advance(Duration.ofSeconds(1));
            return new CallOutcome(e.verdict());
        }
    }

    private static ActionResult run(ActionService service, ActionRequest request) {
        return service.run(request, TestDocuments.active());
    }

    private static RattanportException runExpectingFailure(
            ActionService service, ActionRequest request) {
        return assertThrows(RattanportException.class, () -> run(service, request));
    }

    private ActionRequest request(String operation, String key, String body) {
        return request("inspectors", operation, key, body);
    }

    private ActionRequest request(String operation, String key, String body, Duration limit) {
        return request("inspectors", operation, key, body, limit);
    }

    private ActionRequest request(String account, String operation, String key, String body) {
        return request(account, operation, key, body, TIME_LIMIT);
    }

    private ActionRequest request(
            String account, String operation, String key, String body, Duration limit) {
        return new ActionRequest(
                RequestId.random(),
                new AccountId(account),
                TestDocuments.SERVICE,
                operation,
                body,
                Optional.of(key).filter(each -> !each.isEmpty()),
                Deadline.after(mTime, limit));
    }

    private Deadline deadline() {
        return Deadline.after(mTime, TIME_LIMIT);
    }

    /** Injected fault of the service. */
    private enum ServiceFault {
        NONE,
        REFUSED,
        RUN_THEN_BROKEN,
        BROKEN_BEFORE_RUN
    }

    /** A service client that counts runs by idempotency key. */
    private static final class FakeService implements ServiceClient {
        private final Map<String, Integer> mRuns = new HashMap<>();
        private ServiceFault mFault = ServiceFault.NONE;
        private double mFaultProbability;
        private Random mRandom = new Random(1);

        void setFault(ServiceFault fault, double probability, long seed) {
            mFault = fault;
            mFaultProbability = probability;
            mRandom = new Random(seed);
        }

        int runs(String key) {
            return mRuns.getOrDefault(key, 0);
        }

        @Override
        public ActionResult call(
                Target target, Operation operation, ActionRequest request, long fencingNumber) {
            ServiceFault fault =
                    mRandom.nextDouble() < mFaultProbability ? mFault : ServiceFault.NONE;
            if (fault == ServiceFault.REFUSED) {
                throw failure(ErrorCode.TARGET_REFUSED, Verdict.NOT_RUN);
            }
            if (fault == ServiceFault.BROKEN_BEFORE_RUN) {
                throw failure(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN);
            }
            request.idempotencyKey().ifPresent(key -> mRuns.merge(key, 1, Integer::sum));
            if (fault == ServiceFault.RUN_THEN_BROKEN) {
                throw failure(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN);
            }
            return new ActionResult(200, "{\"key\": \"" + request.idempotencyKey() + "\"}", false);
        }

        private static RattanportException failure(ErrorCode code, Verdict verdict) {
            return RattanportException.builder(code, "scripted").verdict(verdict).build();
        }
    }
}
