package org.rattanport.connectors.json;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.environment.DocumentCodec;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.environment.Limits;
import org.rattanport.kernel.environment.ModelPool;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.environment.ServicePool;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.model.AccountId;

/** Reads environment documents: JSON with comments, checked as a whole. */
public final class JsonDocumentCodec implements DocumentCodec {
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int MAXIMUM_TOKENS = 4_000_000;
    private static final long MAXIMUM_RATE = 1_000_000_000;
    private static final int MAXIMUM_SECONDS = 86_400;
    private static final int MAXIMUM_PRIORITY = 9;

    @Override
    public EnvironmentDocument parse(String text) {
        return CommentedFile.read(text, ErrorCode.INVALID_DOCUMENT, JsonDocumentCodec::document);
    }

    private static EnvironmentDocument document(Fields fields) {
        EnvironmentDocument document =
                new EnvironmentDocument(
                        fields.text("name"),
                        fields.objects("models", JsonDocumentCodec::model),
                        fields.objects("length_classes", JsonDocumentCodec::lengthClass),
                        fields.objects("services", JsonDocumentCodec::service),
                        fields.objects("accounts", JsonDocumentCodec::account),
                        fields.object("limits", JsonDocumentCodec::limits));
        checkUnique(fields, "models", document.models().stream().map(ModelPool::name).toList());
        checkUnique(
                fields, "services", document.services().stream().map(ServicePool::name).toList());
        checkUnique(
                fields,
                "accounts",
                document.accounts().stream().map(each -> each.id().value()).toList());
        checkUnique(
                fields,
                "accounts",
                document.accounts().stream().flatMap(each -> each.keyHashes().stream()).toList());
        checkClasses(fields, document.lengthClasses());
        return document;
    }

    private static void checkUnique(Fields fields, String name, List<String> values) {
        Set<String> seen = new HashSet<>();
        values.stream()
                .filter(each -> !seen.add(each))
                .forEach(each -> fields.fault(name, "has \"" + each + "\" twice"));
    }

    private static void checkClasses(Fields fields, List<LengthClass> classes) {
        if (classes.isEmpty()) {
            fields.fault("length_classes", "must have at least one class");
        }
        for (int i = 1; i < classes.size(); i++) {
            if (classes.get(i).maximumPromptTokens() <= classes.get(i - 1).maximumPromptTokens()) {
                fields.fault("length_classes/" + i, "must be longer than the class before it");
            }
        }
        int shares = classes.stream().mapToInt(LengthClass::engineSharePercent).sum();
        if (!classes.isEmpty() && shares != 100) {
            fields.fault("length_classes", "have engine shares of " + shares + "%, not 100%");
        }
    }

    private static ModelPool model(Fields fields) {
        return new ModelPool(
                fields.text("name"),
                fields.text("version", ""),
                (int) fields.integer("maximum_prompt_tokens", 1, MAXIMUM_TOKENS),
                fields.flag("checks_fencing_numbers", false),
                (int) fields.integer("minimum_serving_percent", 0, 100, 75));
    }

    private static LengthClass lengthClass(Fields fields) {
        return new LengthClass(
                fields.text("name"),
                (int) fields.integer("maximum_prompt_tokens", 1, MAXIMUM_TOKENS),
                (int) fields.integer("engine_share_percent", 0, 100),
                fields.seconds("time_limit_seconds", 1, MAXIMUM_SECONDS));
    }

    private static ServicePool service(Fields fields) {
        ServicePool service =
                new ServicePool(
                        fields.text("name"),
                        fields.flag("checks_fencing_numbers", false),
                        fields.objects("operations", JsonDocumentCodec::operation));
        checkUnique(
                fields, "operations", service.operations().stream().map(Operation::name).toList());
        return service;
    }

    private static Operation operation(Fields fields) {
        return new Operation(
                fields.text("name"),
                fields.flag("is_idempotent"),
                fields.seconds("time_limit_seconds", 1, MAXIMUM_SECONDS),
                Set.copyOf(fields.integers("not_run_statuses")));
    }

    private static ClientAccount account(Fields fields) {
        List<String> hashes = fields.texts("key_hashes");
        hashes.stream()
                .filter(each -> !KEY_HASH.matcher(each).matches())
                .forEach(
                        each ->
                                fields.fault(
                                        "key_hashes",
                                        "must be SHA-256 hashes in lower-case hexadecimal"));
        return new ClientAccount(
                new AccountId(fields.text("name")),
                hashes,
                (int) fields.integer("priority", 0, MAXIMUM_PRIORITY, 0),
                (int) fields.integer("weight", 1, 1000, 1),
                fields.integer("tokens_per_second", 1, MAXIMUM_RATE),
                fields.integer("burst_tokens", 1, MAXIMUM_RATE));
    }

    private static Limits limits(Fields fields) {
        return new Limits(
                fields.seconds("maximum_time_limit_seconds", 1, MAXIMUM_SECONDS),
                (int) fields.integer("maximum_output_tokens", 1, MAXIMUM_TOKENS),
                fields.integer("queued_tokens", 1, MAXIMUM_RATE),
                Duration.ofSeconds(fields.integer("ageing_seconds", 1, MAXIMUM_SECONDS, 10)),
                (int) fields.integer("target_deaths_per_request", 1, 10, 2),
                Duration.ofSeconds(
                        fields.integer("idempotency_retention_seconds", 60, 30L * 86_400, 86_400)),
                (int) fields.integer("model_loads_at_once", 1, 1000, 1));
    }
}
