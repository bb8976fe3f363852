package org.rattanport.connectors.caller;

import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.connectors.metrics.InstanceMetrics;
import org.rattanport.decisions.lifecycle.InFlightRequests;
import org.rattanport.decisions.prompt.PromptService;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.request.ResumePoint;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;

/** Serves prompts of callers in the format of the chat-completions API. */
public final class PromptEndpoint implements Endpoint {
    private static final Logger LOGGER = Logger.getLogger(PromptEndpoint.class);
    private static final int MAX_BODY_BYTES = 12 * 1024 * 1024;
    private static final String REQUEST_ID_HEADER = "Rattanport-Request-Id";
    private static final String RESUME_HEADER = "Rattanport-Resume";
    private static final String RECEIVED_TOKENS_HEADER = "Rattanport-Received-Tokens";
    private static final int SUCCESS = 200;

    @Override
    public void register(Routes routes, PluginContext context) {
        routes.post("/v1/chat/completions", exchange -> complete(exchange, context));
        routes.get("/v1/models", exchange -> sendModels(exchange, context));
    }

    private static void sendModels(HttpExchange exchange, PluginContext context) {
        Caller caller = Authentication.authenticate(exchange, context);
        var body = Json.newObject().put("object", "list");
        var list = body.putArray("data");
        caller.environment()
                .document()
                .models()
                .forEach(
                        model ->
                                list.addObject()
                                        .put("id", model.name())
                                        .put("object", "model")
                                        .put("owned_by", "rattanport"));
        exchange.respond(SUCCESS, body);
    }

    private static void complete(HttpExchange exchange, PluginContext context) {
        Caller caller = Authentication.authenticate(exchange, context);
        try (var ignored = context.require(InFlightRequests.class).begin()) {
            PromptBody body = PromptBody.parse(exchange.readJsonBody(MAX_BODY_BYTES));
            PromptRequest request = decodeRequest(exchange, body, caller, context);
            exchange.addResponseHeader(REQUEST_ID_HEADER, request.id().value());
            serve(exchange, body, caller, request, context);
        } catch (RattanportException e) {
            throw e;
        } catch (Exception e) {
            throw ErrorResponses.internalError(new IllegalStateException(e));
        }
    }

    private static void serve(
            HttpExchange exchange,
            PromptBody body,
            Caller caller,
            PromptRequest request,
            PluginContext context) {
        InstanceMetrics metrics = context.require(InstanceMetrics.class);
        String lengthClass =
                caller.environment().document().lengthClass(request.promptTokens()).name();
        try {
            if (body.isStreamed()) {
                stream(exchange, caller, request, context, lengthClass);
            } else {
                sendWhole(exchange, caller, request, context);
            }
            metrics.countPrompt(lengthClass, "ok", "ran");
        } catch (RattanportException e) {
            metrics.countPrompt(lengthClass, e.code().wireName(), e.verdict().wireName());
            LOGGER.debugf(
                    "request %s of account %s failed: %s",
                    request.id(), request.account(), e.getMessage());
            throw e;
        }
    }

    private static void sendWhole(
            HttpExchange exchange, Caller caller, PromptRequest request, PluginContext context) {
        CollectingSink sink = new CollectingSink();
        context.require(PromptService.class)
                .serve(request, caller.environment(), caller.account(), sink, new Cancellation());
        exchange.respond(SUCCESS, ChatResponses.completion(request, sink));
    }

    private static void stream(
            HttpExchange exchange,
            Caller caller,
            PromptRequest request,
            PluginContext context,
            String lengthClass) {
        EventStreamSink sink =
                new EventStreamSink(exchange, request, context.require(ResumeTickets.class));
        Cancellation cancellation = new Cancellation();
        InstanceMetrics metrics = context.require(InstanceMetrics.class);
        try (RequestGuard guard =
                new RequestGuard(
                        context.time(), request.deadline(), sink::keepAlive, cancellation)) {
            context.require(PromptService.class)
                    .serve(
                            request,
                            caller.environment(),
                            caller.account(),
                            new MetricsSink(sink, context.time(), metrics, lengthClass),
                            cancellation);
            sink.close();
        } catch (RattanportException e) {
            if (sink.isStreamStarted() && e.code() != ErrorCode.CANCELLED) {
                sink.fail(e);
            }
            throw e;
        }
    }

    private static PromptRequest decodeRequest(
            HttpExchange exchange, PromptBody body, Caller caller, PluginContext context) {
        var document = caller.environment().document();
        PromptRequest.Builder builder =
                PromptRequest.builder()
                        .account(caller.account().id())
                        .model(body.model())
                        .prompt(body.prompt())
                        .maximumOutputTokens(body.maximumOutputTokens())
                        .priority(caller.account().priority());
        int promptTokens = builder.build().promptTokens();
        Duration timeLimit =
                TimeLimits.readTimeLimit(
                        exchange, document, document.lengthClass(promptTokens).timeLimit());
        builder.timeLimit(timeLimit, Deadline.after(context.time(), timeLimit));
        Optional<String> ticket = exchange.header(RESUME_HEADER);
        return ticket.isEmpty()
                ? builder.build()
                : resumedRequest(exchange, builder, ticket.get(), context);
    }

    private static PromptRequest resumedRequest(
            HttpExchange exchange,
            PromptRequest.Builder builder,
            String encodedTicket,
            PluginContext context) {
        ResumeTickets.Ticket ticket = context.require(ResumeTickets.class).decrypt(encodedTicket);
        if (!ticket.fingerprint().equals(builder.build().fingerprint().value())) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST,
                            "the resume ticket belongs to another account, model or prompt")
                    .field(RESUME_HEADER)
                    .build();
        }
        TargetId target = new TargetId(ticket.targetName(), ticket.targetIncarnation());
        ResumePoint point = new ResumePoint(target, ticket.attempt(), receivedTokens(exchange));
        return builder.id(new RequestId(ticket.requestId())).resume(Optional.of(point)).build();
    }

    private static int receivedTokens(HttpExchange exchange) {
        String value = exchange.header(RECEIVED_TOKENS_HEADER).orElse("0");
        if (!value.matches("[0-9]{1,9}")) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST,
                            RECEIVED_TOKENS_HEADER
                                    + " must be a number of tokens of at most 9 digits")
                    .field(RECEIVED_TOKENS_HEADER)
                    .build();
        }
        return Integer.parseInt(value);
    }
}
