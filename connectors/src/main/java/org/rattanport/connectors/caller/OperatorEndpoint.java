package org.rattanport.connectors.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.decisions.environment.DocumentStore;
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerMessage.DocumentReply;
import org.rattanport.kernel.peer.PeerMessage.DocumentRequest;
import org.rattanport.kernel.peer.PeerMessage.ExplainReply;
import org.rattanport.kernel.peer.PeerMessage.ExplainRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.Explanation;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.time.Deadline;

/** Serves the operator API; every request needs the key of an operator. */
public final class OperatorEndpoint implements Endpoint {
    private static final int SUCCESS = 200;
    private static final int MAX_DOCUMENT_BYTES = 1024 * 1024;
    private static final int MAX_AUDIT_ENTRIES = 100;
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

    @Override
    public void register(Routes routes, PluginContext context) {
        routes.get("/operator/environment/{stage}", operatorOnly(context, this::show));
        routes.get("/operator/environment/{stage}/history", operatorOnly(context, this::history));
        routes.get("/operator/environment/{stage}/status", operatorOnly(context, this::status));
        routes.put("/operator/environment/{stage}", operatorOnly(context, this::put));
        routes.post("/operator/promotions", operatorOnly(context, this::promote));
        routes.get("/operator/members", operatorOnly(context, this::members));
        routes.get("/operator/targets", operatorOnly(context, this::targets));
        routes.get("/operator/audit", operatorOnly(context, this::audit));
        routes.get("/operator/requests/{id}", operatorOnly(context, this::explain));
    }

    @FunctionalInterface
    private interface OperatorHandler {
        void handle(HttpExchange exchange, PluginContext context);
    }

    private static Routes.ExchangeHandler operatorOnly(
            PluginContext context, OperatorHandler handler) {
        return exchange -> {
            Authentication.requireOperator(exchange, context);
            handler.handle(exchange, context);
        };
    }

    private void show(HttpExchange exchange, PluginContext context) {
        Stage stage = Authentication.parseStage(exchange.pathParameter("stage"));
        DocumentVersion version =
                context.require(DocumentStore.class)
                        .read(environmentName(context), stage, storeDeadline(context))
                        .orElseThrow(
                                () ->
                                        new RattanportException(
                                                ErrorCode.NOT_FOUND, "no version is stored yet"));
        exchange.respond(SUCCESS, version);
    }

    private void history(HttpExchange exchange, PluginContext context) {
        Stage stage = Authentication.parseStage(exchange.pathParameter("stage"));
        List<DocumentVersion> versions =
                context.require(DocumentStore.class)
                        .history(environmentName(context), stage, storeDeadline(context));
        exchange.respond(SUCCESS, versions);
    }

    private void put(HttpExchange exchange, PluginContext context) {
        Stage stage = Authentication.parseStage(exchange.pathParameter("stage"));
        String document =
                new String(
                        exchange.readBody(MAX_DOCUMENT_BYTES),
                        java.nio.charset.StandardCharsets.UTF_8);
        DocumentVersion version =
                context.require(DocumentStore.class)
                        .put(
                                environmentName(context),
                                stage,
                                document,
                                operatorName(exchange),
                                versionParameter(exchange, "expected_version"),
                                storeDeadline(context));
        context.require(ActiveEnvironments.class).activateIfNewer(version);
        exchange.respond(SUCCESS, version);
    }

    private void promote(HttpExchange exchange, PluginContext context) {
        DocumentVersion version =
                context.require(DocumentStore.class)
                        .promote(
                                environmentName(context),
                                operatorName(exchange),
                                versionParameter(exchange, "trial_version"),
                                versionParameter(exchange, "expected_version"),
                                storeDeadline(context));
        context.require(ActiveEnvironments.class).activateIfNewer(version);
        exchange.respond(SUCCESS, version);
    }

    /**
     * Requests the active version of every member. The version of a member that does not respond is
     * null, so operators see which members have confirmed a version.
     */
    private void status(HttpExchange exchange, PluginContext context) {
        Stage stage = Authentication.parseStage(exchange.pathParameter("stage"));
        ObjectNode body = Json.newObject();
        body.put("stage", stage.wireName());
        var list = body.putArray("members");
        context.require(Membership.class)
                .members()
                .forEach(
                        member -> {
                            ObjectNode node = list.addObject();
                            node.put("name", member.id().name());
                            node.put("state", member.state().name());
                            activeVersionAt(member, stage, context)
                                    .ifPresentOrElse(
                                            version -> node.put("version", version),
                                            () -> node.putNull("version"));
                        });
        exchange.respond(SUCCESS, body);
    }

    private static Optional<Long> activeVersionAt(
            Member member, Stage stage, PluginContext context) {
        if (member.id().equals(context.require(Membership.class).self().id())) {
            return Optional.of(context.require(ActiveEnvironments.class).activeVersion(stage));
        }
        return callPeer(member, new DocumentRequest(stage), context)
                .filter(DocumentReply.class::isInstance)
                .map(DocumentReply.class::cast)
                .map(
                        reply ->
                                reply.versions().stream()
                                        .mapToLong(DocumentVersion::version)
                                        .max()
                                        .orElse(0));
    }

    private void members(HttpExchange exchange, PluginContext context) {
        exchange.respond(SUCCESS, context.require(Membership.class).members());
    }

    private void targets(HttpExchange exchange, PluginContext context) {
        TargetDirectory directory = context.require(TargetDirectory.class);
        EngineLoadTable engineLoads = context.require(EngineLoadTable.class);
        var list = Json.MAPPER.createArrayNode();
        for (TargetKind kind : TargetKind.values()) {
            directory.all(kind).forEach(each -> list.add(describe(each, directory, engineLoads)));
        }
        exchange.respond(SUCCESS, list);
    }

    private static ObjectNode describe(
            Target target, TargetDirectory directory, EngineLoadTable engineLoads) {
        ObjectNode node = Json.newObject();
        node.put("name", target.id().name()).put("incarnation", target.id().incarnation());
        node.put("kind", target.kind().name()).put("pool", target.pool());
        node.put("address", target.address());
        node.put("takes_work", directory.serving(target.kind(), target.pool()).contains(target));
        engineLoads
                .find(target.id())
                .ifPresent(
                        load -> {
                            node.put("backlog_tokens", load.backlogTokens());
                            node.put("free_memory_tokens", load.freeMemoryTokens());
                            node.put("outstanding", load.outstanding());
                        });
        return node;
    }

    private void audit(HttpExchange exchange, PluginContext context) {
        exchange.respond(
                SUCCESS,
                context.require(AuditTrail.class)
                        .latest(MAX_AUDIT_ENTRIES, storeDeadline(context)));
    }

    private void explain(HttpExchange exchange, PluginContext context) {
        RequestId id = new RequestId(exchange.pathParameter("id"));
        Explanation explanation =
                context.require(RequestJournal.class)
                        .explain(id)
                        .or(() -> explainAtPeers(id, context))
                        .orElseThrow(
                                () ->
                                        new RattanportException(
                                                ErrorCode.NOT_FOUND,
                                                "no instance has a record of this request"));
        exchange.respond(SUCCESS, explanation);
    }

    private static Optional<Explanation> explainAtPeers(RequestId id, PluginContext context) {
        Membership membership = context.require(Membership.class);
        return membership.members().stream()
                .filter(each -> !each.id().equals(membership.self().id()))
                .flatMap(each -> callPeer(each, new ExplainRequest(id.value()), context).stream())
                .filter(ExplainReply.class::isInstance)
                .flatMap(reply -> ((ExplainReply) reply).explanations().stream())
                .findFirst();
    }

    private static Optional<PeerMessage> callPeer(
            Member member, PeerMessage request, PluginContext context) {
        try {
            return Optional.of(
                    context.require(PeerNetwork.class)
                            .call(
                                    member.peerAddress(),
                                    request,
                                    Deadline.after(context.time(), PEER_TIMEOUT)));
        } catch (RattanportException e) {
            return Optional.empty();
        }
    }

    private static String environmentName(PluginContext context) {
        return context.require(InstanceSettings.class).environment();
    }

    private static Deadline storeDeadline(PluginContext context) {
        return Deadline.after(context.time(), STORE_TIMEOUT);
    }

    private static String operatorName(HttpExchange exchange) {
        return exchange.header("Rattanport-Operator")
                .filter(name -> !name.isBlank())
                .orElseThrow(
                        () ->
                                RattanportException.builder(
                                                ErrorCode.INVALID_REQUEST,
                                                "Rattanport-Operator must name the operator who"
                                                        + " makes the change")
                                        .field("Rattanport-Operator")
                                        .build());
    }

    private static long versionParameter(HttpExchange exchange, String name) {
        String value = exchange.queryParameter(name).orElse("");
        if (!value.matches("[0-9]{1,15}")) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST, name + " must be a version number")
                    .field(name)
                    .build();
        }
        return Long.parseLong(value);
    }
}
