package org.rattanport.decisions;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.environment.Limits;
import org.rattanport.kernel.environment.ModelPool;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.environment.ServicePool;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.model.AccountId;

/** Environment documents for tests. */
public final class TestDocuments {
    public static final String ENVIRONMENT = "haneul";
    public static final String MODEL = "assistant";
    public static final String SERVICE = "dispatch";

    private TestDocuments() {}

    /** A document with one model, three length classes, one service and two client accounts. */
    public static EnvironmentDocument document() {
        Duration limit = Duration.ofSeconds(30);
        return new EnvironmentDocument(
                ENVIRONMENT,
                List.of(new ModelPool(MODEL, "2", 1_000_000, false, 75)),
                List.of(
                        new LengthClass("short", 8_000, 50, limit),
                        new LengthClass("middle", 64_000, 25, limit),
                        new LengthClass("long", 1_000_000, 25, limit)),
                List.of(
                        new ServicePool(
                                SERVICE,
                                false,
                                List.of(
                                        new Operation("lock-out", false, limit, Set.of(503)),
                                        new Operation("status", true, limit, Set.of(503))))),
                List.of(account("inspectors", 5), account("reviews", 0)),
                new Limits(
                        Duration.ofMinutes(10),
                        4096,
                        2_000_000,
                        Duration.ofSeconds(10),
                        2,
                        Duration.ofDays(1),
                        1));
    }

    /** A client account with a limit of 1,000 tokens per second. */
    public static ClientAccount account(String name, int priority) {
        return new ClientAccount(new AccountId(name), List.of(), priority, 1, 1_000, 10_000);
    }

    /** The document as active version 1 of the production stage. */
    public static ActiveEnvironment active() {
        return new ActiveEnvironment(
                new DocumentVersion(
                        ENVIRONMENT, Stage.PRODUCTION, 1, "change", "operator", 0, 0, ENVIRONMENT),
                document());
    }
}
