package org.rattanport.connectors.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.connectors.metrics.InstanceMetrics;
import org.rattanport.decisions.action.ActionService;
import org.rattanport.decisions.action.Claim;
import org.rattanport.decisions.action.ClaimState;
import org.rattanport.decisions.lifecycle.InFlightRequests;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.ActionResult;
import org.rattanport.kernel.time.Deadline;

/**
 * Accepts calls of plain services and reports their outcome by idempotency key: {@code POST
 * /v1/services/{service}/{operation}} and {@code GET /v1/idempotency-keys/{key}}.
 */
public final class ActionEndpoint implements Endpoint {
    private static final int SUCCESS = 200;
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int MAX_KEY_CHARACTERS = 256;
    private static final Duration DEFAULT_TIME_LIMIT = Duration.ofSeconds(30);

    @Override
    public void register(Routes routes, PluginContext context) {
        routes.post("/v1/services/{service}/{operation}", exchange -> call(exchange, context));
        routes.get("/v1/idempotency-keys/{key}", exchange -> sendOutcome(exchange, context));
    }

    /** Sends the stored outcome of the call with an idempotency key, without running anything. */
    private static void sendOutcome(HttpExchange exchange, PluginContext context) {
        Caller caller = Authentication.authenticate(exchange, context);
        Claim claim =
                context.require(ActionService.class)
                        .outcome(
                                caller.account().id(),
                                exchange.pathParameter("key"),
                                Deadline.after(context.time(), DEFAULT_TIME_LIMIT))
                        .orElseThrow(
                                () ->
                                        new RattanportException(
                                                ErrorCode.NOT_FOUND,
                                                "no call with this idempotency key is stored"));
        var body =
                Json.newObject()
                        .put("state", claim.state().name().toLowerCase(Locale.ROOT))
                        .put("verdict", verdict(claim.state()).wireName())
                        .put("fencing_number", claim.fencingNumber());
        if (claim.state() == ClaimState.DONE) {
            body.put("status", claim.status()).put("body", claim.body());
        }
        exchange.respond(SUCCESS, body);
    }

    private static Verdict verdict(ClaimState state) {
        return switch (state) {
            case DONE -> Verdict.RAN;
            case NOT_RUN -> Verdict.NOT_RUN;
            case SENDING, UNSETTLED -> Verdict.MAY_HAVE_RUN;
        };
    }

    private static void call(HttpExchange exchange, PluginContext context) {
        Caller caller = Authentication.authenticate(exchange, context);
        InstanceMetrics metrics = context.require(InstanceMetrics.class);
        try (var ignored = context.require(InFlightRequests.class).begin()) {
            ActionRequest request = decodeRequest(exchange, caller, context);
            exchange.addResponseHeader("Rattanport-Request-Id", request.id().value());
            ActionResult result =
                    context.require(ActionService.class).run(request, caller.environment());
            metrics.countAction(request.service(), "ok", "ran");
            exchange.addResponseHeader(ErrorResponses.VERDICT_HEADER, "ran");
            exchange.addResponseHeader("Rattanport-Replay", Boolean.toString(result.isReplayed()));
            exchange.respond(
                    result.status(),
                    "application/json",
                    result.body().getBytes(StandardCharsets.UTF_8));
        } catch (RattanportException e) {
            metrics.countAction(
                    exchange.pathParameter("service"), e.code().wireName(), e.verdict().wireName());
            throw e;
        } catch (Exception e) {
            throw ErrorResponses.internalError(new IllegalStateException(e));
        }
    }

    private static ActionRequest decodeRequest(
            HttpExchange exchange, Caller caller, PluginContext context) {
        String service = exchange.pathParameter("service");
        String operation = exchange.pathParameter("operation");
        byte[] body = exchange.readBody(MAX_BODY_BYTES);
        if (body.length > 0) {
            Json.parseObject(body);
        }
        var document = caller.environment().document();
        Duration defaultLimit =
                document.service(service)
                        .flatMap(each -> each.operation(operation))
                        .map(Operation::timeLimit)
                        .orElse(DEFAULT_TIME_LIMIT);
        Duration timeLimit = TimeLimits.readTimeLimit(exchange, document, defaultLimit);
        return new ActionRequest(
                RequestId.random(),
                caller.account().id(),
                service,
                operation,
                body.length == 0 ? "{}" : new String(body, StandardCharsets.UTF_8),
                idempotencyKey(exchange),
                Deadline.after(context.time(), timeLimit));
    }

    private static Optional<String> idempotencyKey(HttpExchange exchange) {
        Optional<String> key = exchange.header("Idempotency-Key");
        if (key.filter(each -> each.length() > MAX_KEY_CHARACTERS).isPresent()) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST,
                            "Idempotency-Key has more than " + MAX_KEY_CHARACTERS + " characters")
                    .field("Idempotency-Key")
                    .build();
        }
        return key;
    }
}
