package org.rattanport.decisions.environment;

import org.rattanport.kernel.environment.Stage;

/** Builds the keys of the rows that store environment documents. */
final class DocumentKeys {
    private DocumentKeys() {}

    /** Key of the head row, which is small because every instance polls it. */
    static String head(String environment, Stage stage) {
        return "environment/" + environment + "/" + stage.wireName();
    }

    static String history(String environment, Stage stage, long version) {
        return historyPrefix(environment, stage) + String.format("%012d", version);
    }

    static String historyPrefix(String environment, Stage stage) {
        return "environment-history/" + environment + "/" + stage.wireName() + "/";
    }
}
