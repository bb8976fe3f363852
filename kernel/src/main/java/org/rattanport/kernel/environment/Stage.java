package org.rattanport.kernel.environment;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** A stage of an environment; documents are promoted from trial to production. */
public enum Stage {
    TRIAL,
    PRODUCTION;

    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    public static Optional<Stage> parse(String wireName) {
        return Arrays.stream(values())
                .filter(stage -> stage.wireName().equals(wireName))
                .findFirst();
    }
}
