package org.rattanport.connectors.caller;

import java.util.List;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;

/** Authenticates client accounts and operators by the key in the Authorization header. */
final class Authentication {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final String STAGE_HEADER = "Rattanport-Stage";

    private Authentication() {}

    /**
     * Finds the client account of a request in the active document of the stage that the request
     * names, or of production.
     */
    static Caller authenticate(HttpExchange exchange, PluginContext context) {
        Stage stage = parseStage(exchange.header(STAGE_HEADER).orElse(Stage.PRODUCTION.wireName()));
        ActiveEnvironment environment =
                context.require(ActiveEnvironments.class)
                        .current(stage)
                        .orElseThrow(
                                () ->
                                        new RattanportException(
                                                ErrorCode.ENVIRONMENT_UNAVAILABLE,
                                                "no " + stage.wireName() + " document is active"));
        String hash = KeyHash.of(bearerKey(exchange));
        ClientAccount account =
                environment.document().accounts().stream()
                        .filter(each -> containsHash(each.keyHashes(), hash))
                        .findFirst()
                        .orElseThrow(Authentication::unauthenticated);
        return new Caller(account, environment);
    }

    /** Throws {@code UNAUTHENTICATED} unless the request has the key of an operator. */
    static void requireOperator(HttpExchange exchange, PluginContext context) {
        List<String> hashes = context.require(InstanceSettings.class).operatorKeyHashes();
        if (!containsHash(hashes, KeyHash.of(bearerKey(exchange)))) {
            throw unauthenticated();
        }
    }

    static Stage parseStage(String name) {
        return Stage.parse(name)
                .orElseThrow(
                        () ->
                                RattanportException.builder(
                                                ErrorCode.INVALID_REQUEST,
                                                "\""
                                                        + name
                                                        + "\" is not a stage; the stages are trial"
                                                        + " and production")
                                        .field(STAGE_HEADER)
                                        .build());
    }

    private static boolean containsHash(List<String> hashes, String hash) {
        return hashes.stream().anyMatch(each -> KeyHash.equalsInConstantTime(each, hash));
    }

    private static String bearerKey(HttpExchange exchange) {
        return exchange.header("Authorization")
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()))
                .orElseThrow(Authentication::unauthenticated);
    }

    private static RattanportException unauthenticated() {
        return RattanportException.builder(
                        ErrorCode.UNAUTHENTICATED, "the key is missing, unknown or revoked")
                .field("Authorization")
                .build();
    }
}
