package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.rattanport.decisions.gateway.discovery.RouteTable;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.WeightedService;
import org.rattanport.kernel.time.Deadline;

/** Forwards callers' requests to the back ends of their routes. */
public final class GatewayService {
    /** Timeout of a request whose caller sends none. */
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

    private final GatewayComponents mComponents;
    private final Random mRandom;

    GatewayService(GatewayComponents components, Random random) {
        mComponents = components;
        mRandom = random;
    }

    /**
     * Forwards the request on the task of the caller's connection.
     *
     * @throws RattanportException when nothing was sent to the caller; its verdict says whether the
     *     request may have run
     */
    public void serve(CallerRequest request, CallerExchange caller) {
        RouteTable table = mComponents.routing().require();
        Route route =
                table.route(request.host(), request.path())
                        .orElseThrow(
                                () ->
                                        new RattanportException(
                                                ErrorCode.NOT_FOUND,
                                                "no route matches the host and path"));
        Optional<GatewayAccount> account = authenticate(table, route, request);
        String serviceName = pickService(route.services());
        BackEndService service =
                table.service(serviceName)
                        .orElseThrow(
                                () ->
                                        new RattanportException(
                                                ErrorCode.NO_TARGET,
                                                "the routing document does not define the service "
                                                        + serviceName));
        Duration timeout = request.waitLimit().orElse(DEFAULT_TIMEOUT);
        Deadline deadline =
                Deadline.after(mComponents.time(), timeout)
                        .within(mComponents.time(), route.timeout());
        mComponents.retryBudget().recordFirstAttempt(serviceName);
        new Forwarding(mComponents, request, caller, route, service, account, deadline).run();
    }

    private static Optional<GatewayAccount> authenticate(
            RouteTable table, Route route, CallerRequest request) {
        Optional<GatewayAccount> account = request.accountKey().flatMap(table::account);
        if (account.isEmpty() && table.hasAccounts() && !route.isPublic()) {
            throw new RattanportException(ErrorCode.UNAUTHENTICATED, "the account key is unknown");
        }
        return account;
    }

    private String pickService(List<WeightedService> services) {
        double totalWeight = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = mRandom.nextDouble() * totalWeight;
        for (WeightedService each : services) {
            remaining -= each.weight();
            if (remaining < 0) {
                return each.service();
            }
        }
        return services.getLast().service();
    }
}
