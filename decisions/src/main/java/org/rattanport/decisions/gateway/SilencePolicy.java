package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.Optional;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.Route;

/**
 * How long the silence of a back end is waited out: to the limit of the route, or until another one
 * may take the request over.
 */
final class SilencePolicy {
    private final GatewayComponents mComponents;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final BackEndService mService;
    private final BackEndSelection mSelection;

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
    }

    /** Once no retry is allowed, only the route limits the silence of the last engine. */
    SilenceTimeout betweenEvents(int runs) {
        boolean mayRetry = mRoute.isRetryable() && runs < mRoute.maxAttempts();
        return mayRetry
                ? SilenceTimeout.betweenEvents(mRoute)
                : SilenceTimeout.routeTimeout(mRoute);
    }

    /** The wait for a first event ends early only while a retry is allowed. */
    SilenceTimeout beforeFirstEvent(Placement placement, int runs, boolean hasStarted) {
        boolean mayRetry = mRoute.isRetryable() && runs + 1 < mRoute.maxAttempts();
        if (!mayRetry || hasStarted) {
            return SilenceTimeout.routeTimeout(mRoute);
        }
        double predicted = placement.work().map(EngineWork::predictedFirstEventMillis).orElse(0.0);
        return SilenceTimeout.beforeFirstEvent(mRoute, predicted);
    }

    /** Whether a retry may be sent, and to a back end that has not been tried. */
    boolean mayTakeOver() {
        return mComponents.retryBudget().isAvailable(mService.name()) && mSelection.hasUntried();
    }

    /** Predicted time until the last chosen back end finishes its prefill work. */
    Duration remainingPrefill(Optional<String> backEndId) {
        return backEndId
                .map(id -> mComponents.workNotifier().remainingPrefill(mRequest.attemptId(), id))
                .orElse(Duration.ZERO);
    }
}
