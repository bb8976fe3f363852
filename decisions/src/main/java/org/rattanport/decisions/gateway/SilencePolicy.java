package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.rattanport.decisions.gateway.placement.ForwardPassModel;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.decisions.gateway.relay.ResponseRelay;
import org.rattanport.decisions.gateway.relay.SilenceTimeout;
import org.rattanport.decisions.gateway.relay.TakeOver;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * How long the silence of a back end is waited out: to the limit of the route, or until another one
 * may take the request over.
 */
final class SilencePolicy implements TakeOver {
    private final GatewayComponents mComponents;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final BackEndService mService;
    private final BackEndSelection mSelection;

    private boolean mHasReservedRetry;

    /** How long the back end of the current attempt may be silent after its head. */
    private SilenceTimeout mAfterHead;

    SilencePolicy(
            GatewayComponents components,
            CallerRequest request,
            Route route,
            BackEndService service,
            BackEndSelection selection) {
        mComponents = components;
        mRequest = request;
        mRoute = route;
        mService = service;
        mSelection = selection;
        mAfterHead = SilenceTimeout.routeTimeout(route);
    }

    /**
     * Waits for the head of a response. What it leaves of the timeout limits the wait for the first
     * event.
     *
     * @param runs runs of the request before this one
     * @param hasStarted whether the caller has a part of the response
     * @param read waits until the deadline it receives
     */
    <T> T awaitHead(
            Placement placement,
            int runs,
            boolean hasStarted,
            Deadline deadline,
            Function<Deadline, T> read) {
        TimeSource time = mComponents.time();
        SilenceTimeout timeout = beforeFirstEvent(placement, runs, hasStarted);
        Optional<String> backEndId = Optional.of(placement.backEnd().id());
        long startNanos = time.nanoTime();
        T head = timeout.await(time, deadline, this, () -> remainingPrefill(backEndId), read);
        mAfterHead = timeout.afterHead(Duration.ofNanos(time.nanoTime() - startNanos));
        return head;
    }

    /** The wait for a first event ends early only while a retry is allowed. */
    private SilenceTimeout beforeFirstEvent(Placement placement, int runs, boolean hasStarted) {
        boolean mayRetry = mRoute.isRetryable() && runs + 1 < mRoute.maxAttempts();
        if (!mayRetry || hasStarted) {
            return SilenceTimeout.routeTimeout(mRoute);
        }
        double predicted = placement.work().map(this::firstEventMillis).orElse(0.0);
        return SilenceTimeout.beforeFirstEvent(mRoute, predicted);
    }

    /**
     * Predicted time of the first event if the engine holds nothing of the prompt. It may have
     * evicted what it was believed to hold, which must not look like a failure.
     */
    private double firstEventMillis(EngineWork work) {
        Optional<PromptSize> size = mRequest.promptSize();
        Optional<EngineSpec> spec = mService.engineSpec().filter(EngineSpec::retainsPrompts);
        if (size.isEmpty() || spec.isEmpty() || work.shares().size() != 1) {
            return work.predictedFirstEventMillis();
        }
        double wholeMillis =
                new ForwardPassModel(spec.get()).prefillMillis(size.get().promptTokens(), 1);
        double savedMillis = wholeMillis - work.shares().getFirst().prefillMillis();
        return work.predictedFirstEventMillis() + Math.max(0, savedMillis);
    }

    /**
     * Once no other engine may continue the response, only the route limits the silence of the last
     * one.
     */
    SilenceTimeout beforeNextEvent(int runs, ResponseRelay relay) {
        if (!relay.hasStarted()) {
            return mAfterHead;
        }
        boolean mayRetry =
                mRoute.isRetryable()
                        && runs < mRoute.maxAttempts()
                        && relay.continuation().isPresent();
        return mayRetry
                ? SilenceTimeout.betweenEvents(mRoute)
                : SilenceTimeout.routeTimeout(mRoute);
    }

    @Override
    public boolean isPossible() {
        return mSelection.hasUntried()
                && (mHasReservedRetry || mComponents.retryBudget().isAvailable(mService.name()));
    }

    @Override
    public boolean tryReserve() {
        mHasReservedRetry =
                mHasReservedRetry || mComponents.retryBudget().tryAcquire(mService.name());
        return mHasReservedRetry;
    }

    /** Takes the retry that was reserved, or another one; returns whether there is one. */
    boolean takeRetry() {
        boolean isTaken = tryReserve();
        mHasReservedRetry = false;
        return isTaken;
    }

    /** Predicted time until the last chosen back end finishes its prefill work. */
    Duration remainingPrefill(Optional<String> backEndId) {
        return backEndId
                .map(id -> mComponents.workNotifier().remainingPrefill(mRequest.attemptId(), id))
                .orElse(Duration.ZERO);
    }
}
