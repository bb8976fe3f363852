package org.rattanport.connectors.json;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.environment.DocumentParser;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.environment.Limits;
import org.rattanport.kernel.environment.ModelPool;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.environment.ServicePool;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.model.AccountId;

/** Parses environment documents, which are JSON with comments, and validates them as a whole. */
public final class JsonDocumentParser implements DocumentParser {
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");

    /** Upper bound of the limits of prompts and answers, in tokens. */
    private static final int MAX_TOKENS_PER_REQUEST = 4_000_000;

    /** Upper bound of rates, bursts and queue limits, in tokens. */
    private static final long MAX_LIMIT_TOKENS = 1_000_000_000;

    private static final int MAX_TIME_LIMIT_SECONDS = 86_400;
    private static final int MAX_PRIORITY = 9;

    @Override
    public EnvironmentDocument parse(String json) {
        return CommentedJsonParser.parse(
                json, ErrorCode.INVALID_DOCUMENT, JsonDocumentParser::readDocument);
    }

    private static EnvironmentDocument readDocument(JsonObjectReader object) {
        EnvironmentDocument document =
                new EnvironmentDocument(
                        object.string("name"),
                        object.objects("models", JsonDocumentParser::readModel),
                        object.objects("length_classes", JsonDocumentParser::readLengthClass),
                        object.objects("services", JsonDocumentParser::readService),
                        object.objects("accounts", JsonDocumentParser::readAccount),
                        object.object("limits", JsonDocumentParser::readLimits));
        checkUnique(object, "models", document.models().stream().map(ModelPool::name).toList());
        checkUnique(
                object, "services", document.services().stream().map(ServicePool::name).toList());
        checkUnique(
                object,
                "accounts",
                document.accounts().stream().map(each -> each.id().value()).toList());
        checkUnique(
                object,
                "accounts",
                document.accounts().stream().flatMap(each -> each.keyHashes().stream()).toList());
        checkLengthClasses(object, document.lengthClasses());
        return document;
    }

    private static void checkUnique(JsonObjectReader object, String name, List<String> values) {
        Set<String> seen = new HashSet<>();
        values.stream()
                .filter(each -> !seen.add(each))
                .forEach(each -> object.addError(name, "contains \"" + each + "\" more than once"));
    }

    private static void checkLengthClasses(JsonObjectReader object, List<LengthClass> classes) {
        if (classes.isEmpty()) {
            object.addError("length_classes", "must have at least one length class");
        }
        for (int i = 1; i < classes.size(); i++) {
            if (classes.get(i).maximumPromptTokens() <= classes.get(i - 1).maximumPromptTokens()) {
                object.addError(
                        "length_classes/" + i,
                        "must allow longer prompts than the length class before it");
            }
        }
        int totalShares = classes.stream().mapToInt(LengthClass::engineSharePercent).sum();
        if (!classes.isEmpty() && totalShares != 100) {
            object.addError(
                    "length_classes",
                    "have engine shares that add up to " + totalShares + "% instead of 100%");
        }
    }

    private static ModelPool readModel(JsonObjectReader object) {
        return new ModelPool(
                object.string("name"),
                object.string("version", ""),
                (int) object.integer("maximum_prompt_tokens", 1, MAX_TOKENS_PER_REQUEST),
                object.bool("checks_fencing_numbers", false),
                (int) object.integer("minimum_serving_percent", 0, 100, 75));
    }

    private static LengthClass readLengthClass(JsonObjectReader object) {
        return new LengthClass(
                object.string("name"),
                (int) object.integer("maximum_prompt_tokens", 1, MAX_TOKENS_PER_REQUEST),
                (int) object.integer("engine_share_percent", 0, 100),
                object.seconds("time_limit_seconds", 1, MAX_TIME_LIMIT_SECONDS));
    }

    private static ServicePool readService(JsonObjectReader object) {
        ServicePool service =
                new ServicePool(
                        object.string("name"),
                        object.bool("checks_fencing_numbers", false),
                        object.objects("operations", JsonDocumentParser::readOperation));
        checkUnique(
                object, "operations", service.operations().stream().map(Operation::name).toList());
        return service;
    }

    private static Operation readOperation(JsonObjectReader object) {
        return new Operation(
                object.string("name"),
                object.bool("is_idempotent"),
                object.seconds("time_limit_seconds", 1, MAX_TIME_LIMIT_SECONDS),
                Set.copyOf(object.integers("not_run_statuses")));
    }

    private static ClientAccount readAccount(JsonObjectReader object) {
        List<String> hashes = object.strings("key_hashes");
        hashes.stream()
                .filter(each -> !KEY_HASH.matcher(each).matches())
                .forEach(
                        each ->
                                object.addError(
                                        "key_hashes",
                                        "must be SHA-256 hashes in lower-case hexadecimal"));
        return new ClientAccount(
                new AccountId(object.string("name")),
                hashes,
                (int) object.integer("priority", 0, MAX_PRIORITY, 0),
                (int) object.integer("weight", 1, 1000, 1),
                object.integer("tokens_per_second", 1, MAX_LIMIT_TOKENS),
                object.integer("burst_tokens", 1, MAX_LIMIT_TOKENS));
    }

    private static Limits readLimits(JsonObjectReader object) {
        return new Limits(
                object.seconds("maximum_time_limit_seconds", 1, MAX_TIME_LIMIT_SECONDS),
                (int) object.integer("maximum_output_tokens", 1, MAX_TOKENS_PER_REQUEST),
                object.integer("queued_tokens", 1, MAX_LIMIT_TOKENS),
                Duration.ofSeconds(object.integer("ageing_seconds", 1, MAX_TIME_LIMIT_SECONDS, 10)),
                (int) object.integer("target_deaths_per_request", 1, 10, 2),
                Duration.ofSeconds(
                        object.integer("idempotency_retention_seconds", 60, 30L * 86_400, 86_400)),
                (int) object.integer("model_loads_at_once", 1, 1000, 1));
    }
}
